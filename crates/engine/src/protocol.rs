//! JSON bodies of the requests to engines and of their responses.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Request body of `POST /prefill`, which computes the KV cache of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefill {
    /// Identifier of the work, also used to cancel it.
    pub id: String,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// Response to [`Prefill`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prefilled {
    /// Identifier of the KV cache on this engine.
    pub kv: Arc<str>,
    /// Time until the engine may evict the KV cache, milliseconds.
    pub lives_ms: u64,
}

/// Request body of `POST /decode`, which imports a KV cache and streams the generated tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decode {
    /// Identifier of the work, also used to cancel it.
    pub id: String,
    /// Address of the engine that holds the KV cache.
    pub source: Arc<str>,
    /// Identifier of the KV cache on that engine.
    pub kv: Arc<str>,
    /// Maximum number of tokens, counted from index zero.
    pub max_tokens: u32,
    /// Index of the first token to return.
    pub from_index: u32,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// A line of the response to [`Decode`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// The KV cache has been imported; decoding begins.
    Imported,
    /// The source no longer holds the KV cache.
    Evicted,
    /// Not enough memory was free for the import.
    Full,
    /// A generated token.
    Token {
        /// Position in the output, from zero.
        index: u32,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The output is complete.
    End {
        /// Number of tokens in the output, counted from index zero.
        total: u32,
    },
}

/// Response to `GET /export/KV`, with which one engine imports a KV cache from another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Export {
    /// Digest of the content of the KV cache.
    pub content: u64,
    /// Length of the prompt, tokens.
    pub prompt_tokens: u32,
}

/// Request body of `POST /serve`, which loads a model or changes the role.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serve {
    /// Role to change to.
    pub role: String,
    /// Model to load.
    pub serves: Arc<str>,
    /// Fencing number. Engines that check it refuse orders with a lower number than the last one.
    pub fence: u64,
}
