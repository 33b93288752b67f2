//! Maintains the entry's lease and shard ownership in the table.
//!
//! The decisions are made by [`Home`] on the control thread; this module reads and writes the rows.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use async_std::task;
use futures_lite::FutureExt as _;
use tarragonhill_core::{
    home::{self, Home},
    message::{PeerReply, PeerRequest},
};
use tarragonhill_table::{HostState, Hosts as _, HttpHosts, Table, TableError, Transaction, Write};

use crate::entry::context::Context;

/// Interval between rounds; a quarter of the lease duration.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Minimum time between rounds, to limit the load on the table when refreshes are requested often.
const MIN_ROUND_GAP: Duration = Duration::from_millis(20);
/// Concurrent table writes. With sequential writes, the shards offered first would have no home
/// until the last write.
const MAX_CONCURRENT_WRITES: usize = 16;
/// Key prefix of lease and shard rows.
const PREFIX: &str = "home/";

/// Reads rows, renews the lease and writes shard changes until cancelled. A message on `refreshes`
/// starts the next round early.
pub(crate) async fn maintain(context: Arc<Context>, hosts: Option<SocketAddr>, refreshes: Receiver<()>) {
    let hosts = hosts.map(HttpHosts::new);
    let mut read_version = 0;
    loop {
        if let Some(hosts) = &hosts {
            observe_hosts(&context, hosts).await;
        }
        // Read before the first write: writes are conditional on the row versions read here.
        match observe(&context, read_version).await {
            Ok(version) => read_version = version,
            Err(error) => spdlog::debug!("cannot read lease and shard rows: {error}"),
        }
        renew(&context).await;
        if write_changes(&context).await {
            read_version = observe(&context, read_version).await.unwrap_or(read_version);
        }
        // An entry that offers a shard to this one requests a refresh, so that the shard's customers
        // are without a home only briefly.
        let refresh_requested = async {
            let _ = refreshes.recv().await;
        };
        context.clock.sleep(ROUND_INTERVAL).or(refresh_requested).await;
        context.clock.sleep(MIN_ROUND_GAP).await;
    }
}

async fn observe(context: &Context, read_version: u64) -> Result<u64, TableError> {
    let rows = context.table.list(PREFIX, read_version).await?;
    let Some(mut live) = context.control.observe_rows(rows.rows).await else { return Ok(rows.version) };
    live.remove(&context.name);
    context.set_entries(live);
    Ok(rows.version)
}

async fn observe_hosts(context: &Context, hosts: &HttpHosts) {
    let Ok(listed) = hosts.hosts().await else { return };
    let removed = listed.into_iter().filter(|host| host.state == HostState::Gone);
    let removed: BTreeSet<Arc<str>> = removed.map(|host| host.name.into()).collect();
    context.control.set_removed_hosts(removed);
}

/// Renews the lease in the table. If that fails, asks all successors to grant the renewal instead;
/// a successor that has granted it takes over no shard of this entry meanwhile.
async fn renew(context: &Context) {
    let Some(renewal_write) = context.control.prepare_renewal().await else { return };
    let began = context.clock.now();
    if commit(&*context.table, renewal_write).await.is_ok() {
        return context.control.extend_lease(began);
    }
    let successors = context.control.successors().await;
    if successors.is_empty() {
        return;
    }
    let addresses = context.control.addresses(successors.clone()).await;
    let mut granted = 0;
    for address in addresses.values() {
        let request = PeerRequest::Renew { incarnation: context.control.incarnation() };
        if let Some(PeerReply::Renewed { granted: true }) =
            context.peers.exchange(address, &context.name, request).await
        {
            granted += 1;
        }
    }
    if granted == successors.len() {
        context.control.extend_lease(began);
    }
}

/// Executes the planned writes; returns whether there were any.
async fn write_changes(context: &Arc<Context>) -> bool {
    let writes = context.control.plan_writes().await;
    let any = !writes.is_empty();
    for chunk in writes.chunks(MAX_CONCURRENT_WRITES) {
        let tasks: Vec<_> =
            chunk.iter().cloned().map(|write| task::spawn(write_one(context.clone(), write))).collect();
        let mut recipients = BTreeSet::new();
        for task in tasks {
            recipients.extend(task.await);
        }
        for address in context.control.addresses(recipients).await.into_values() {
            let context = context.clone();
            task::spawn(async move {
                context.peers.exchange(&address, &context.name, PeerRequest::RefreshShards).await
            });
        }
    }
    any
}

/// Executes one write. Returns the entry that it offers a shard to, if it does and succeeds.
async fn write_one(context: Arc<Context>, write: home::Write) -> Option<Arc<str>> {
    let recipient = Home::offer_recipient(&write);
    // Errors are not retried here: the next read of the rows shows whether the write was applied.
    match commit(&*context.table, write).await {
        Ok(_) => recipient,
        Err(error) => {
            spdlog::debug!("cannot write lease or shard row: {error}");
            None
        }
    }
}

async fn commit(table: &dyn Table, write: home::Write) -> Result<u64, TableError> {
    let write = Write { key: write.key, expected: Some(write.expected), value: Some(write.value) };
    table.commit(&Transaction { writes: vec![write] }).await
}
