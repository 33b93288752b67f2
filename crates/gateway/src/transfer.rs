//! Responses between replicas, transferred in chunks with a timeout for each step.

use std::{pin::Pin, time::Duration};

use async_std::future::timeout;
use futures_lite::stream::{self, Stream};
use tarragonhill_wire::proto;
use tonic::{Response, Status, Streaming};

/// Timeout for connecting, for the response to begin and for each chunk. The whole transfer has no timeout,
/// because its duration depends on the size of the configuration.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of a chunk; small enough for a slow link to carry within [`STEP_TIMEOUT`].
const CHUNK_BYTES: usize = 32 << 10;
const MAX_RESPONSE_BYTES: usize = 32 << 20;

pub(crate) type Chunks = Pin<Box<dyn Stream<Item = Result<proto::Chunk, Status>> + Send>>;

/// Splits a response into chunks.
pub(crate) fn chunked(bytes: &[u8]) -> Response<Chunks> {
    let chunks: Vec<proto::Chunk> =
        bytes.chunks(CHUNK_BYTES).map(|data| proto::Chunk { data: data.to_vec() }).collect();
    Response::new(Box::pin(stream::iter(chunks.into_iter().map(Ok))))
}

/// Reads the chunks of a response, with a timeout for each.
pub(crate) async fn collect(mut chunks: Streaming<proto::Chunk>) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = with_timeout(chunks.message()).await?.map_err(|status| status.to_string())? {
        if bytes.len() + chunk.data.len() > MAX_RESPONSE_BYTES {
            return Err("response too large".into());
        }
        bytes.extend_from_slice(&chunk.data);
    }
    Ok(bytes)
}

/// Runs a step of a transfer with its timeout.
pub(crate) async fn with_timeout<T>(step: impl Future<Output = T>) -> Result<T, String> {
    timeout(STEP_TIMEOUT, step).await.map_err(|_| "request timed out".to_string())
}
