//! Asks all hosts for their state, and waits until it is as wanted.

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

/// Each host must answer within this time; a host that does not counts as behind.
pub const HOST_LIMIT: time::Duration = time::Duration::from_secs(2);
/// The time between two looks at all hosts while waiting.
const POLL: time::Duration = time::Duration::from_millis(200);

/// Asks one host who the others are, then each of them for its state.
async fn gather(options: &HostOptions) -> error::Result<Vec<HostLine>> {
    let token = commands::token(options)?;
    let first: HostStatus = commands::client(options, commands::CALL_LIMIT)?
        .call(method::STATUS, &NoParams {})
        .await?;
    let mut tasks = Vec::new();
    for member in &first.members {
        let client = ControlClient::new(member.control_address, &token, HOST_LIMIT)?;
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

/// Prints the state of every host.
pub async fn print_status(options: &HostOptions) -> error::Result<()> {
    let lines = gather(options).await?;
    if options.json {
        output::print_json(&lines);
    } else {
        output::print_status(&lines);
    }
    Ok(())
}

/// Hosts that are alive and do not have the generation in force.
fn lagging(lines: &[HostLine], generation: u64) -> Vec<String> {
    let alive = lines.iter().filter(|line| line.state != HostState::Dead);
    let behind = alive.filter(|line| {
        line.status
            .as_ref()
            .is_none_or(|status| status.in_force < generation)
    });
    behind.map(|line| line.name.clone()).collect()
}

/// Waits until every live host has a generation in force.
pub async fn wait_in_force(
    options: &HostOptions,
    generation: u64,
    limit: time::Duration,
) -> error::Result<()> {
    let began = time::Instant::now();
    loop {
        let behind = lagging(&gather(options).await?, generation);
        if behind.is_empty() {
            println!(
                "in force on every live entry host after {} ms",
                began.elapsed().as_millis()
            );
            return Ok(());
        }
        if began.elapsed() >= limit {
            return Err(Error::with_code(ResultCode::WaitExpired, behind.join(" ")));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Waits until every live host has a generation in force and nothing runs on what it drains.
pub async fn wait_drained(
    options: &HostOptions,
    generation: u64,
    limit: time::Duration,
) -> error::Result<()> {
    let began = time::Instant::now();
    loop {
        let lines = gather(options).await?;
        let behind = lagging(&lines, generation);
        let statuses = lines.iter().filter_map(|line| line.status.as_ref());
        let draining: u32 = statuses.map(|status| status.draining).sum();
        if behind.is_empty() && draining == 0 {
            println!("drained after {} ms", began.elapsed().as_millis());
            return Ok(());
        }
        if began.elapsed() >= limit {
            let detail = format!(
                "{draining} requests still run; behind: {}",
                behind.join(" ")
            );
            return Err(Error::with_code(ResultCode::WaitExpired, detail));
        }
        tokio::time::sleep(POLL).await;
    }
}
