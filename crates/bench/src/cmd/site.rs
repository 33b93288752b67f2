//! `site`: runs simulated servers for manual tests of the daemons.

use std::time::Duration;

use async_std::task;

use crate::{
    fleet::FleetError,
    sim::{
        decode, plain, prefill,
        table::{Rates, Table},
    },
};

/// Starts the simulated servers, prints their addresses, and runs until the process is terminated.
pub async fn execute() -> Result<bool, FleetError> {
    let table = Table::start(Rates::default()).await?;
    println!("table      {}", table.address());
    let mut engines = Vec::new();
    for number in 1..=2 {
        let prefill = prefill::Engine::start(prefill::Profile::default()).await?;
        let decode = decode::Engine::start(decode::Profile::default()).await?;
        println!("prefill-{number}  {}\ndecode-{number}   {}", prefill.address(), decode.address());
        engines.push((prefill, decode));
    }
    let service = plain::Service::start(Duration::from_millis(2)).await?;
    println!("filing-1   {}", service.address());
    println!("\n{}", format_commands(&table));
    loop {
        task::sleep(Duration::from_secs(3_600)).await;
    }
}

fn format_commands(table: &Table) -> String {
    let table = table.address();
    format!(
        "tarragonhilld agent --name agent-1 --zone zone-a --fronts prefill-1,decode-1,prefill-2,decode-2,filing-1 \
         --listen 127.0.0.1:9101 --admin 127.0.0.1:9201 --table {table}\n\
         tarragonhilld entry --name entry-1 --zone zone-a --listen 127.0.0.1:9001 --admin 127.0.0.1:9002 \
         --peer 127.0.0.1:9003 --table {table}"
    )
}
