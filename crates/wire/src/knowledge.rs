//! What entries hand to one that cannot reach the store.

use std::sync::Arc;

use tarragonhill_core::gateway::{
    directory::{Endpoint, Row},
    knowledge::Knowledge,
    state::Listing,
};

use crate::{DecodeError, proto};

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
            order: knowledge.order,
            configuration: knowledge.configuration.to_vec(),
            list: knowledge.listing.version,
            endpoints: endpoints.collect(),
        }
    }
}

impl TryFrom<proto::Knowledge> for Knowledge {
    type Error = DecodeError;

    fn try_from(knowledge: proto::Knowledge) -> Result<Self, DecodeError> {
        let rows: Result<Vec<Row>, DecodeError> =
            knowledge.endpoints.into_iter().map(Row::try_from).collect();
        Ok(Self {
            order: knowledge.order,
            configuration: knowledge.configuration.into(),
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
            listed.address.parse().map_err(|_| DecodeError::Unknown("address", listed.address.clone()))?;
        let stage = listed.stage.parse().map_err(|_| DecodeError::Unknown("stage", listed.stage.clone()))?;
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
