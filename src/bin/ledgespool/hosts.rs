//! Queries the status of all hosts and waits until they reach a state.

use std::time;

use ledgespool::control_message::HostStatus;
use ledgespool::error::{self, Error};
use ledgespool::member::HostState;
use ledgespool::result_code::ResultCode;
use ledgespool::rpc::{NoParams, method};
use ledgespool::rpc_client::ControlClient;

use crate::app::HostOptions;
use crate::commands;
use crate::output::{self, HostLine};

/// Timeout of a status call. A host that exceeds it counts as lagging.
pub const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time between two polls of all hosts while waiting.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Reads the member list from one host and queries the status of each member.
async fn query_hosts(options: &HostOptions) -> error::Result<Vec<HostLine>> {
    let token = commands::token(options)?;
    let first: HostStatus = commands::client(options, commands::CALL_TIMEOUT)?
        .call(method::STATUS, &NoParams {})
        .await?;
    let mut tasks = Vec::new();
    for member in &first.members {
        let client = ControlClient::new(member.control_address, &token, STATUS_TIMEOUT)?;
        let alive = member.state != HostState::Dead;
        tasks.push(tokio::spawn(async move {
            if !alive {
                return None;
            }
            client
                .call::<_, HostStatus>(method::STATUS, &NoParams {})
                .await
                .ok()
        }));
    }
    let mut lines = Vec::new();
    for (member, task) in first.members.iter().zip(tasks) {
        lines.push(HostLine {
            name: member.identity.name.clone(),
            hall: member.hall.clone(),
            state: member.state,
            status: task.await.ok().flatten(),
        });
    }
    lines.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(lines)
}

/// Prints the status of every host.
pub async fn print_status(options: &HostOptions) -> error::Result<()> {
    let lines = query_hosts(options).await?;
    if options.json {
        output::print_json(&lines);
    } else {
        output::print_status(&lines);
    }
    Ok(())
}

/// Returns the names of live hosts on which the generation is not active.
fn lagging_hosts(lines: &[HostLine], generation: u64) -> Vec<String> {
    let alive = lines.iter().filter(|line| line.state != HostState::Dead);
    let lagging = alive.filter(|line| {
        line.status
            .as_ref()
            .is_none_or(|status| status.in_force < generation)
    });
    lagging.map(|line| line.name.clone()).collect()
}

/// Waits until a generation is active on every live host.
pub async fn wait_active(
    options: &HostOptions,
    generation: u64,
    limit: time::Duration,
) -> error::Result<()> {
    let began = time::Instant::now();
    loop {
        let lagging = lagging_hosts(&query_hosts(options).await?, generation);
        if lagging.is_empty() {
            println!(
                "in force on every live entry host after {} ms",
                began.elapsed().as_millis()
            );
            return Ok(());
        }
        if began.elapsed() >= limit {
            return Err(Error::with_code(ResultCode::WaitExpired, lagging.join(" ")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a generation is active on every live host and no request runs on what it drains.
pub async fn wait_drained(
    options: &HostOptions,
    generation: u64,
    limit: time::Duration,
) -> error::Result<()> {
    let began = time::Instant::now();
    loop {
        let lines = query_hosts(options).await?;
        let lagging = lagging_hosts(&lines, generation);
        let statuses = lines.iter().filter_map(|line| line.status.as_ref());
        let draining: u32 = statuses.map(|status| status.draining).sum();
        if lagging.is_empty() && draining == 0 {
            println!("drained after {} ms", began.elapsed().as_millis());
            return Ok(());
        }
        if began.elapsed() >= limit {
            let detail = format!(
                "{draining} requests still run; behind: {}",
                lagging.join(" ")
            );
            return Err(Error::with_code(ResultCode::WaitExpired, detail));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
