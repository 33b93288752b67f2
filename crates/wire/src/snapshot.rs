//! Conversions of the store snapshot that a gateway replica sends to a peer.

use std::{
    io::{self, Read as _, Write as _},
    sync::Arc,
    time::Duration,
};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use tarragonhill_core::{
    clock::micros,
    gateway::{
        directory::{Endpoint, Row},
        position::{Edition, Position},
        snapshot::Snapshot,
        staleness::Versions,
        state::Listing,
    },
};

use crate::{
    DecodeError,
    digest::{decode_evacuations, encode_evacuations},
    proto,
};

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

impl From<&Snapshot> for proto::Knowledge {
    fn from(snapshot: &Snapshot) -> Self {
        let endpoints = snapshot.listing.rows.iter().filter_map(|row| {
            let endpoint = row.endpoint.as_ref()?;
            Some(proto::Listed {
                id: row.id.to_string(),
                version: row.position.version(),
                sequence: row.sequence,
                born: endpoint.started_ms,
                service: endpoint.service.to_string(),
                software_version: endpoint.software_version.to_string(),
                address: endpoint.address.to_string(),
                zone: endpoint.zone.to_string(),
                stage: endpoint.stage.to_string(),
                slots: endpoint.slots,
                leaving: endpoint.is_draining,
                cold_us: micros(row.cold),
                era: row.position.era(),
            })
        });
        Self {
            order: snapshot.versions.configuration.position.version(),
            number: snapshot.versions.configuration.version,
            order_era: snapshot.versions.configuration.position.era(),
            list_era: snapshot.listing.position.era(),
            configuration: compress(&snapshot.configuration),
            list: snapshot.listing.position.version(),
            endpoints: endpoints.collect(),
            newest: snapshot.versions.endpoints.version(),
            evacuations: encode_evacuations(&snapshot.evacuations),
        }
    }
}

impl TryFrom<proto::Knowledge> for Snapshot {
    type Error = DecodeError;

    fn try_from(snapshot: proto::Knowledge) -> Result<Self, DecodeError> {
        let rows: Result<Vec<Row>, DecodeError> = snapshot.endpoints.into_iter().map(Row::try_from).collect();
        let configuration = decompress(&snapshot.configuration);
        let configuration =
            configuration.map_err(|error| DecodeError::Invalid("configuration", error.to_string()))?;
        let configuration_position = Position::new(snapshot.order_era, snapshot.order);
        Ok(Self {
            versions: Versions {
                configuration: Edition { version: snapshot.number, position: configuration_position },
                endpoints: Position::new(snapshot.list_era, snapshot.newest),
            },
            configuration: configuration.into(),
            evacuations: decode_evacuations(snapshot.evacuations),
            listing: Listing {
                position: Position::new(snapshot.list_era, snapshot.list),
                is_complete: true,
                rows: rows?,
            },
        })
    }
}

impl From<Edition> for proto::Question {
    fn from(Edition { version, position }: Edition) -> Self {
        Self { configuration: position.version(), number: version, era: position.era() }
    }
}

impl From<proto::Question> for Edition {
    fn from(question: proto::Question) -> Self {
        let proto::Question { configuration, number, era } = question;
        Self { version: number, position: Position::new(era, configuration) }
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
            started_ms: listed.born,
            service: listed.service.into(),
            software_version: listed.software_version.into(),
            address,
            zone: listed.zone.into(),
            stage,
            slots: listed.slots,
            is_draining: listed.leaving,
        };
        let (position, sequence) = (Position::new(listed.era, listed.version), listed.sequence);
        let cold = Duration::from_micros(listed.cold_us);
        Ok(Self { id, position, sequence, cold, endpoint: Some(Arc::new(endpoint)) })
    }
}
