//! Conversions of announcements of streams and queries for them.

use std::time::Duration;

use tarragonhill_core::{
    clock::micros,
    gateway::origin::{Message, Origin, Stream},
};

use crate::proto;

impl From<&Message> for proto::Bundle {
    fn from(message: &Message) -> Self {
        let origins = message.origins.iter().map(|origin| proto::Origin {
            stream: origin.stream.0,
            version: origin.software_version.to_string(),
            left_us: micros(origin.left),
        });
        let ids = |streams: &[Stream]| streams.iter().map(|stream| stream.0).collect();
        Self {
            origins: origins.collect(),
            sought: ids(&message.sought),
            unknown: ids(&message.unknown),
            ..Self::default()
        }
    }
}

impl From<&proto::Bundle> for Message {
    fn from(bundle: &proto::Bundle) -> Self {
        let origins = bundle.origins.iter().map(|origin| Origin {
            stream: Stream(origin.stream),
            software_version: origin.version.as_str().into(),
            left: Duration::from_micros(origin.left_us),
        });
        let streams = |ids: &[u64]| ids.iter().copied().map(Stream).collect();
        Self {
            origins: origins.collect(),
            sought: streams(&bundle.sought),
            unknown: streams(&bundle.unknown),
        }
    }
}
