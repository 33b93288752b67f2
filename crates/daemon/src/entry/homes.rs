//! Keeps the entry's lease and its homes in the table.

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

/// How often the lease is renewed and ownership looked over: four times in a lease.
const ROUND: Duration = Duration::from_millis(1_500);
/// Least time between rounds, however many borrowers miss a home: the table is shared.
const PAUSE: Duration = Duration::from_millis(20);
/// Writes under way at once. One after another, the shards offered first would be without a home
/// until the last is written.
const AT_ONCE: usize = 16;
/// Prefix of all rows of this module.
const PREFIX: &str = "home/";

/// Runs rounds for ever, one at once whenever `looks` says so.
pub(crate) async fn keep(context: Arc<Context>, hosts: Option<SocketAddr>, looks: Receiver<()>) {
    let hosts = hosts.map(HttpHosts::new);
    let mut read = 0;
    loop {
        if let Some(hosts) = &hosts {
            observe_hosts(&context, hosts).await;
        }
        // The first reading comes before the first write, whose version it tells.
        match observe(&context, read).await {
            Ok(version) => read = version,
            Err(error) => spdlog::debug!("homes not read: {error}"),
        }
        renew(&context).await;
        if write(&context).await {
            read = observe(&context, read).await.unwrap_or(read);
        }
        // A handover keeps customers without a home only until its recipient has looked.
        let looked = async {
            let _ = looks.recv().await;
        };
        context.clock.sleep(ROUND).or(looked).await;
        context.clock.sleep(PAUSE).await;
    }
}

async fn observe(context: &Context, read: u64) -> Result<u64, TableError> {
    let rows = context.table.list(PREFIX, read).await?;
    let Some(mut live) = context.control.rows(rows.rows).await else { return Ok(rows.version) };
    live.remove(&context.name);
    context.set_entries(live);
    Ok(rows.version)
}

async fn observe_hosts(context: &Context, hosts: &HttpHosts) {
    let Ok(listed) = hosts.hosts().await else { return };
    let gone = listed.into_iter().filter(|host| host.state == HostState::Gone);
    let gone: BTreeSet<Arc<str>> = gone.map(|host| host.name.into()).collect();
    context.control.gone(gone);
}

/// Renews the lease by the table, or else by the word of all successors: one of them is the only
/// entry that could follow this one without the table's knowing.
async fn renew(context: &Context) {
    let Some(renewal) = context.control.renewal().await else { return };
    let began = context.clock.now();
    if commit(&*context.table, renewal).await.is_ok() {
        return context.control.renewed(began);
    }
    let successors = context.control.successors().await;
    if successors.is_empty() {
        return;
    }
    let addresses = context.control.addresses(successors.clone()).await;
    let mut granted = 0;
    for address in addresses.values() {
        let ask = PeerRequest::Renew { incarnation: context.control.incarnation() };
        if let Some(PeerReply::Renewed { granted: true }) =
            context.peers.ask(address, &context.name, ask).await
        {
            granted += 1;
        }
    }
    if granted == successors.len() {
        context.control.renewed(began);
    }
}

/// Carries out what the decisions want written; true if anything was.
async fn write(context: &Arc<Context>) -> bool {
    let writes = context.control.writes().await;
    let any = !writes.is_empty();
    for some in writes.chunks(AT_ONCE) {
        let tasks: Vec<_> =
            some.iter().cloned().map(|write| task::spawn(one(context.clone(), write))).collect();
        let mut recipients = BTreeSet::new();
        for task in tasks {
            recipients.extend(task.await);
        }
        for address in context.control.addresses(recipients).await.into_values() {
            let context = context.clone();
            task::spawn(async move {
                context.peers.ask(&address, &context.name, PeerRequest::RefreshShards).await
            });
        }
    }
    any
}

/// Carries one write out; the entry that a shard was offered to by it, if one was.
async fn one(context: Arc<Context>, write: home::Write) -> Option<Arc<str>> {
    let recipient = Home::offer_recipient(&write);
    // The outcome shows when the rows are read again, also when the answer is lost.
    match commit(&*context.table, write).await {
        Ok(_) => recipient,
        Err(error) => {
            spdlog::debug!("home not written: {error}");
            None
        }
    }
}

async fn commit(table: &dyn Table, write: home::Write) -> Result<u64, TableError> {
    let write = Write { key: write.key, expected: Some(write.expected), value: Some(write.value) };
    table.commit(&Transaction { writes: vec![write] }).await
}
