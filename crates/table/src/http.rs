//! Client of the table service over HTTP and JSON.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use tarragonhill_http::client::{Error, Pool, Request, Response};

use crate::table::{Row, Rows, Table, TableError, TableFuture, Transaction};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the table service.
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
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, pool: Pool::default() }
    }

    async fn send(&self, request: Request) -> Result<Response<'_>, TableError> {
        self.pool.send(self.address, request, TIMEOUT).await.map_err(TableError::from)
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

fn status_error(status: u16) -> TableError {
    match status {
        // The service returns these only if it has not executed the request.
        429 | 503 => TableError::Unavailable(format!("status {status}")),
        _ => TableError::Unknown(format!("status {status}")),
    }
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>> {
        Box::pin(async move {
            let response = self.send(Request::get(format!("/rows/{key}"))).await?;
            match response.status() {
                200 => Ok(Some(response.json().await?)),
                404 => {
                    response.bytes().await?;
                    Ok(None)
                }
                status => Err(status_error(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: u64) -> TableFuture<'a, Rows> {
        Box::pin(async move {
            let response = self.send(Request::get(format!("/list?prefix={prefix}&after={after}"))).await?;
            match response.status() {
                200 => Ok(response.json().await?),
                status => Err(status_error(status)),
            }
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> TableFuture<'a, u64> {
        Box::pin(async move {
            let response = self.send(Request::post("/commit", transaction)).await?;
            match response.status() {
                200 => Ok(response.json::<Committed>().await?.version),
                409 => Err(TableError::Conflict(response.json::<Conflict>().await?.key)),
                status => Err(status_error(status)),
            }
        })
    }
}
