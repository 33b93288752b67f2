//! The table over HTTP and JSON.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use tarragonhill_http::client::{Error, Pool, Request, Response};

use crate::table::{Pending, Row, Rows, Table, TableError, Transaction};

/// Longest wait for the table's answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the table service.
#[derive(Debug)]
pub struct HttpTable {
    address: SocketAddr,
    pool: Pool,
}

#[derive(Deserialize)]
struct Committed {
    version: u64,
}

#[derive(Deserialize)]
struct Conflict {
    key: String,
}

impl HttpTable {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }

    async fn ask(&self, call: Request) -> Result<Response<'_>, TableError> {
        self.pool.send(self.address, call, TIMEOUT).await.map_err(TableError::from)
    }
}

impl From<Error> for TableError {
    fn from(error: Error) -> Self {
        match error.is_unsent() {
            true => Self::Unavailable(error.to_string()),
            false => Self::Unknown(error.to_string()),
        }
    }
}

fn refused(status: u16) -> TableError {
    match status {
        // The service says so only before it does anything.
        429 | 503 => TableError::Unavailable(format!("status {status}")),
        _ => TableError::Unknown(format!("status {status}")),
    }
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> Pending<'a, Option<Row>> {
        Box::pin(async move {
            let answer = self.ask(Request::get(format!("/rows/{key}"))).await?;
            match answer.status() {
                200 => Ok(Some(answer.json().await?)),
                404 => {
                    answer.bytes().await?;
                    Ok(None)
                }
                status => Err(refused(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: u64) -> Pending<'a, Rows> {
        Box::pin(async move {
            let answer = self.ask(Request::get(format!("/list?prefix={prefix}&after={after}"))).await?;
            match answer.status() {
                200 => Ok(answer.json().await?),
                status => Err(refused(status)),
            }
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> Pending<'a, u64> {
        Box::pin(async move {
            let answer = self.ask(Request::post("/commit", transaction)).await?;
            match answer.status() {
                200 => Ok(answer.json::<Committed>().await?.version),
                409 => Err(TableError::Conflict(answer.json::<Conflict>().await?.key)),
                status => Err(refused(status)),
            }
        })
    }
}
