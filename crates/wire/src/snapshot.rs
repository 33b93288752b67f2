//! Conversions of the store snapshot that a gateway replica sends to a peer.

use std::{
    io::{self, Read as _, Write as _},
    sync::Arc,
};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use tarragonhill_core::gateway::{
    directory::{Endpoint, Row},
    knowledge::Knowledge,
    staleness::Versions,
    state::Listing,
};

use crate::{DecodeError, proto};

/// Limit on a decompressed configuration, equal to the limit on responses of the store.
const MAX_CONFIGURATION_BYTES: u64 = 16 << 20;

/// Compresses with zlib at the fastest level, which suffices for the repetitive text of routes.
fn compress(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes);
    written.and_then(|()| encoder.finish()).expect("writing to memory does not fail")
}

fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    if bytes.is_empty() {
        return Ok(decompressed);
    }
    let mut decoder = ZlibDecoder::new(bytes).take(MAX_CONFIGURATION_BYTES + 1);
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() as u64 > MAX_CONFIGURATION_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(decompressed)
}

impl From<&Knowledge> for proto::Knowledge {
    fn from(knowledge: &Knowledge) -> Self {
        let endpoints = knowledge.listing.rows.iter().filter_map(|row| {
            let endpoint = row.endpoint.as_ref()?;
            Some(proto::Listed {
                id: row.id.to_string(),
                version: row.version,
                sequence: row.sequence,
                born: endpoint.born,
                service: endpoint.service.to_string(),
                address: endpoint.address.to_string(),
                zone: endpoint.zone.to_string(),
                stage: endpoint.stage.to_string(),
                slots: endpoint.slots,
                leaving: endpoint.leaving,
            })
        });
        Self {
            order: knowledge.versions.configuration,
            configuration: compress(&knowledge.configuration),
            list: knowledge.listing.version,
            endpoints: endpoints.collect(),
            newest: knowledge.versions.endpoints,
        }
    }
}

impl TryFrom<proto::Knowledge> for Knowledge {
    type Error = DecodeError;

    fn try_from(knowledge: proto::Knowledge) -> Result<Self, DecodeError> {
        let rows: Result<Vec<Row>, DecodeError> =
            knowledge.endpoints.into_iter().map(Row::try_from).collect();
        let configuration = decompress(&knowledge.configuration);
        let configuration =
            configuration.map_err(|error| DecodeError::Invalid("configuration", error.to_string()))?;
        Ok(Self {
            versions: Versions { configuration: knowledge.order, endpoints: knowledge.newest },
            configuration: configuration.into(),
            listing: Listing { version: knowledge.list, whole: true, rows: rows? },
        })
    }
}

impl TryFrom<proto::Listed> for Row {
    type Error = DecodeError;

    fn try_from(listed: proto::Listed) -> Result<Self, DecodeError> {
        if listed.id.is_empty() {
            return Err(DecodeError::Missing("id"));
        }
        let id: Arc<str> = listed.id.into();
        let address =
            listed.address.parse().map_err(|_| DecodeError::Invalid("address", listed.address.clone()))?;
        let stage = listed.stage.parse().map_err(|_| DecodeError::Invalid("stage", listed.stage.clone()))?;
        let endpoint = Endpoint {
            id: id.clone(),
            born: listed.born,
            service: listed.service.into(),
            address,
            zone: listed.zone.into(),
            stage,
            slots: listed.slots,
            leaving: listed.leaving,
        };
        let (version, sequence) = (listed.version, listed.sequence);
        Ok(Self { id, version, sequence, endpoint: Some(Arc::new(endpoint)) })
    }
}
