//! Bodies of the requests and answers that engines understand.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// `POST /prefill`: turn a prompt into KV cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefill {
    /// Names the work; also names it when it is cancelled.
    pub id: String,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Its length, tokens.
    pub prompt_tokens: u32,
}

/// Answer to [`Prefill`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prefilled {
    /// Names the result.
    pub kv: Arc<str>,
    /// How long the result is kept, milliseconds.
    pub lives_ms: u64,
}

/// `POST /decode`: import a result and stream its tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decode {
    /// Names the work; also names it when it is cancelled.
    pub id: String,
    /// Address of the engine that exports the result.
    pub source: Arc<str>,
    /// Names the result there.
    pub kv: Arc<str>,
    /// Most tokens wanted, counted from index zero.
    pub max_tokens: u32,
    /// Index of the first token wanted.
    pub from_index: u32,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// One line of the answer to [`Decode`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The result has been imported; decoding begins.
    Imported,
    /// The result was gone at its source.
    Evicted,
    /// No memory was free for the import.
    Full,
    /// A token.
    Token {
        /// Its index.
        index: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The answer is whole.
    End {
        /// How many tokens it has.
        total: u32,
    },
}

/// `GET /export/KV`: what one engine gives another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Export {
    /// Digest that stands for the cache's content.
    pub content: u64,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// `POST /serve`: load a model or change role.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serve {
    /// Role wanted.
    pub role: String,
    /// Model wanted.
    pub serves: Arc<str>,
    /// Fencing number; engines that check refuse one that is lower than the last.
    pub fence: u64,
}
