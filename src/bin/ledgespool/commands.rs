//! Runs the commands.

use std::{net, path, time};

use ledgespool::config_object::{ConfigChange, ConfigObject};
use ledgespool::control_message::HostStatus;
use ledgespool::declaration::{self, DrainEntry, DrainKind, ShiftEntry, SteeringDeclaration};
use ledgespool::error::{self, Error};
use ledgespool::event::EventCode;
use ledgespool::result_code::ResultCode;
use ledgespool::rpc::{ChangeParams, ChangeResult, NoParams, TimelineParams, method};
use ledgespool::rpc_client::ControlClient;
use ledgespool::standin::{caller, fleet, load};
use ledgespool::timeline::{self, EventRecord};
use ledgespool::{catalogue, openrpc, timer};

use crate::app::{HostOptions, OperatorCommand};
use crate::output;
use crate::{experiment, hosts, logs};

/// Timeout of a call to one host.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Runs one command.
pub async fn run(command: OperatorCommand) -> error::Result<()> {
    match command {
        OperatorCommand::Check { json, dir } => check(&dir, json),
        OperatorCommand::Plan { host_options, dir } => plan(&host_options, &dir).await,
        OperatorCommand::Apply {
            host_options,
            wait,
            wait_limit,
            operation,
            dir,
        } => {
            let wait = wait.then(|| time::Duration::from_secs(wait_limit));
            apply(&host_options, &dir, operation, wait).await
        }
        OperatorCommand::Status { host_options } => hosts::print_status(&host_options).await,
        OperatorCommand::Drain {
            host_options,
            undo,
            wait,
            wait_limit,
            kind,
            name,
        } => {
            let drain = DrainEntry::with_name(drain_kind(&kind)?, &name);
            let change = if undo {
                ConfigChange::Undrain(drain)
            } else {
                ConfigChange::Drain(drain)
            };
            let generation = send_change(&host_options, change).await?;
            if wait {
                hosts::wait_drained(
                    &host_options,
                    generation,
                    time::Duration::from_secs(wait_limit),
                )
                .await?;
            }
            Ok(())
        }
        OperatorCommand::Shift {
            host_options,
            undo,
            share,
            service,
            from,
            to,
        } => {
            let shift = ShiftEntry::with_share(&service, &from, &to, share);
            let change = if undo {
                ConfigChange::Unshift(shift)
            } else {
                ConfigChange::Shift(shift)
            };
            send_change(&host_options, change).await.map(drop)
        }
        OperatorCommand::Timeline { host_options, last } => {
            show_timeline(&host_options, last).await
        }
        OperatorCommand::Lookup {
            json,
            from,
            entry,
            service,
        } => lookup(entry, &service, from, json).await,
        OperatorCommand::Explain { markdown: true, .. } => {
            print!(
                "{}\n{}",
                catalogue::result_code_table(),
                catalogue::event_table()
            );
            Ok(())
        }
        OperatorCommand::Explain { code, .. } => explain(code.as_deref()),
        OperatorCommand::ExplainRequest { id, files } => logs::explain_request(&id, &files),
        OperatorCommand::Losses { json, plot, files } => {
            logs::show_losses(&files, json, plot.as_deref())
        }
        OperatorCommand::Experiment(command) => experiment::run(&command),
        OperatorCommand::Schema => {
            println!("{}", openrpc::document_text());
            Ok(())
        }
        OperatorCommand::Demo {
            requests,
            rate,
            hosts,
            seed,
            json,
        } => demo(requests, rate, hosts, seed, json).await,
    }
}

fn check(dir: &path::Path, json: bool) -> error::Result<()> {
    let declaration = declaration::from_dir(dir)?;
    if json {
        output::print_json(&declaration);
    } else {
        println!("{}", summary(&declaration));
    }
    Ok(())
}

fn summary(declaration: &SteeringDeclaration) -> String {
    let blocks: u64 = declaration
        .blocks
        .iter()
        .map(declaration::BlockEntry::block_count)
        .sum();
    format!(
        "sound: {} services, {} regions, {} halls, {} servers, {blocks} client blocks",
        declaration.services.len(),
        declaration.regions.len(),
        declaration.halls.len(),
        declaration.servers.len()
    )
}

/// Returns the operator token from the file given in the options, or else from the environment.
pub fn token(options: &HostOptions) -> error::Result<String> {
    let Some(file) = &options.token_file else {
        return Ok(std::env::var("LEDGESPOOL_TOKEN").unwrap_or_default());
    };
    let text = std::fs::read_to_string(file).map_err(|fault| {
        Error::with_code(
            ResultCode::FileUnreadable,
            format!("{}: {fault}", file.display()),
        )
    })?;
    Ok(text.trim().to_owned())
}

/// Creates a client for the host given in the options.
pub fn client(options: &HostOptions, limit: time::Duration) -> error::Result<ControlClient> {
    ControlClient::new(options.host, &token(options)?, limit)
}

async fn active_declaration(options: &HostOptions) -> error::Result<Option<ConfigObject>> {
    Ok(client(options, CALL_TIMEOUT)?
        .call(method::DECLARATION, &NoParams {})
        .await?)
}

async fn plan(options: &HostOptions, dir: &path::Path) -> error::Result<()> {
    let new = declaration::from_dir(dir)?;
    let before = active_declaration(options).await?;
    print_changes(before.as_ref(), &new, options.json);
    Ok(())
}

fn print_changes(before: Option<&ConfigObject>, new: &SteeringDeclaration, json: bool) {
    let empty = SteeringDeclaration::default();
    let old = before.map_or(&empty, |object| object.declaration.as_ref());
    let mut changes = declaration::list_changes(old, new);
    // `apply` keeps the active drains and shifts, so their absence from the files is no change.
    changes.retain(|change| !change.is_retained_by_apply());
    let generation = before.map_or(0, |object| object.generation);
    if json {
        output::print_json(&serde_json::json!({ "generation": generation, "changes": changes }));
        return;
    }
    println!(
        "against generation {generation}: {} change(s)",
        changes.len()
    );
    for change in changes {
        println!("  {change}");
    }
}

fn new_operation_id() -> String {
    format!("cli-{}-{}", timer::unix_millis(), std::process::id())
}

async fn apply(
    options: &HostOptions,
    dir: &path::Path,
    operation: Option<String>,
    wait: Option<time::Duration>,
) -> error::Result<()> {
    let new = declaration::from_dir(dir)?;
    let before = active_declaration(options).await?;
    if !options.json {
        print_changes(before.as_ref(), &new, false);
    }
    let params = ChangeParams {
        operation: operation.unwrap_or_else(new_operation_id),
        expected_generation: Some(before.map_or(0, |object| object.generation)),
        change: ConfigChange::Replace(Box::new(new)),
    };
    let generation = submit(options, &params).await?;
    match wait {
        Some(limit) => hosts::wait_active(options, generation, limit).await,
        None => Ok(()),
    }
}

async fn send_change(options: &HostOptions, change: ConfigChange) -> error::Result<u64> {
    let params = ChangeParams {
        operation: new_operation_id(),
        expected_generation: None,
        change,
    };
    submit(options, &params).await
}

/// Sends a change, prints the result and returns the generation that contains the change.
async fn submit(options: &HostOptions, params: &ChangeParams) -> error::Result<u64> {
    let result: ChangeResult = client(options, CALL_TIMEOUT)?
        .call(method::CHANGE, params)
        .await?;
    if options.json {
        output::print_json(&result);
    } else {
        println!("accepted as generation {}", result.generation);
    }
    Ok(result.generation)
}

fn drain_kind(text: &str) -> error::Result<DrainKind> {
    match text {
        "server" => Ok(DrainKind::Server),
        "hall" => Ok(DrainKind::Hall),
        "host" => Ok(DrainKind::Host),
        other => {
            let detail = format!("{other:?} is not server, hall or host");
            Err(Error::with_code(ResultCode::ParameterInvalid, detail))
        }
    }
}

async fn show_timeline(options: &HostOptions, last: usize) -> error::Result<()> {
    let token = token(options)?;
    let first: HostStatus = client(options, CALL_TIMEOUT)?
        .call(method::STATUS, &NoParams {})
        .await?;
    let mut processes = Vec::new();
    for member in &first.members {
        let client = ControlClient::new(member.control_address, &token, hosts::STATUS_TIMEOUT)?;
        match client
            .call::<_, Vec<EventRecord>>(method::TIMELINE, &TimelineParams::default())
            .await
        {
            Ok(events) => processes.push(events),
            Err(_fault) => eprintln!(
                "{}: unreachable, its events are missing",
                member.identity.name
            ),
        }
    }
    let merged = timeline::merge_events(processes);
    let shown = merged
        .get(merged.len().saturating_sub(last)..)
        .unwrap_or_default();
    if options.json {
        output::print_json(&shown);
    } else {
        output::print_timeline(shown);
    }
    Ok(())
}

async fn lookup(
    entry: net::SocketAddr,
    service: &str,
    from: Option<net::IpAddr>,
    json: bool,
) -> error::Result<()> {
    let answer = caller::look_up_at(entry, service, from).await;
    let answer =
        answer.ok_or_else(|| Error::with_code(ResultCode::HostUnreachable, entry.to_string()))?;
    if json {
        output::print_json(&answer);
        return Ok(());
    }
    for host in &answer.hosts {
        println!(
            "{:<14}{:<22}{}",
            host.name,
            host.address.to_string(),
            host.hall
        );
    }
    println!("may be kept for {} ms", answer.ttl_ms);
    Ok(())
}

fn explain(code: Option<&str>) -> error::Result<()> {
    let is_selected = |shown: &str| code.is_none_or(|code| code.eq_ignore_ascii_case(shown));
    let mut found = false;
    for code in ResultCode::ALL
        .iter()
        .filter(|code| is_selected(&code.to_string()))
    {
        found = true;
        println!("{code}  {}\n        {}", code.text(), code.advice());
        if let Some(outcome) = code.outcome() {
            println!(
                "        outcome: {}, HTTP status {}",
                outcome.as_str(),
                code.http_status()
            );
        }
    }
    for event in EventCode::ALL
        .iter()
        .filter(|event| is_selected(&event.to_string()))
    {
        found = true;
        println!("{event}  {}", event.text());
    }
    if found {
        return Ok(());
    }
    let detail = format!("no code or event {}", code.unwrap_or_default());
    Err(Error::with_code(ResultCode::ParameterInvalid, detail))
}

async fn demo(requests: u64, rate: f64, hosts: usize, seed: u64, json: bool) -> error::Result<()> {
    let running = fleet::DemoFleet::start(hosts.max(1)).await?;
    let plan = load::LoadPlan {
        entries: running.entries(),
        mix: fleet::demo_mix(),
        rate,
        requests,
        seed,
        from: fleet::demo_callers(),
        retry: true,
    };
    let (report, headroom) = tokio::join!(
        load::run(&plan),
        fleet::min_headroom(&running, requests as f64 / rate)
    );
    let summary = fleet::DemoSummary {
        report,
        least_headroom: headroom,
    };
    if json {
        output::print_json(&summary);
    } else {
        println!("{summary}");
    }
    running.stop();
    if summary.report.unanswered() == 0 {
        return Ok(());
    }
    let detail = format!(
        "{} requests did not get their own whole answer",
        summary.report.unanswered()
    );
    Err(Error::with_code(ResultCode::AnswerInvalid, detail))
}
