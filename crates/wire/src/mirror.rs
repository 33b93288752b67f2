//! Conversions of the table rows that relays serve to the replicas of their zone.

use tarragonhill_core::gateway::{
    mirror::{Batch, Row},
    position::Position,
};

use crate::{DecodeError, proto};

impl From<&Batch> for proto::Batch {
    fn from(batch: &Batch) -> Self {
        let rows = batch.rows.iter().map(|row| proto::Stored {
            key: row.key.to_string(),
            value: row.value.to_string(),
            version: row.version,
            removed: row.is_removed,
        });
        let (version, era) = (batch.position.version(), batch.position.era());
        Self { rows: rows.collect(), version, complete: batch.is_complete, era }
    }
}

impl TryFrom<proto::Batch> for Batch {
    type Error = DecodeError;

    fn try_from(batch: proto::Batch) -> Result<Self, DecodeError> {
        if batch.version == 0 {
            return Err(DecodeError::Missing("version"));
        }
        let rows = batch.rows.into_iter().map(|row| match row.key.is_empty() {
            true => Err(DecodeError::Missing("key")),
            false => Ok(Row {
                key: row.key.into(),
                value: row.value.into(),
                version: row.version,
                is_removed: row.removed,
            }),
        });
        let rows: Result<Vec<Row>, DecodeError> = rows.collect();
        let position = Position::new(batch.era, batch.version);
        Ok(Self { rows: rows?, position, is_complete: batch.complete })
    }
}
