//! A closed-loop load generator: callers keep their connections and send the same request one after
//! the other. It measures the maximum throughput of a listener, not the latency under an open load.

use std::{net, thread, time};

use hdrhistogram::Histogram;

use crate::http_client;
use crate::request_body::RequestBody;

const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The requests to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeatPlan {
    /// Address to send to.
    pub to: net::SocketAddr,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Number of connections, spread evenly over the threads.
    pub callers: usize,
    /// Number of threads.
    pub threads: usize,
    /// Duration of the load.
    pub duration: time::Duration,
}

/// The measured figures.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RepeatFigures {
    /// Number of connections.
    pub callers: usize,
    /// Requests answered with status 200.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests answered per second.
    pub per_second: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
}

#[derive(Debug, Default)]
struct CallerCount {
    answered: u64,
    failed: u64,
    micros: Vec<u32>,
}

/// Generates the load for its duration and returns the figures.
///
/// # Errors
/// When a runtime cannot be created.
pub fn run(plan: &RepeatPlan) -> std::io::Result<RepeatFigures> {
    let began = time::Instant::now();
    let threads = plan.threads.clamp(1, plan.callers.max(1));
    let mut running = Vec::new();
    for number in 0..threads {
        let callers = plan.callers / threads + usize::from(number < plan.callers % threads);
        let plan = plan.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        running.push(thread::spawn(move || {
            runtime.block_on(run_callers(&plan, callers))
        }));
    }
    let counts = running
        .into_iter()
        .flat_map(|thread| thread.join().unwrap_or_default());
    Ok(figures(plan.callers, counts.collect(), began.elapsed()))
}

fn figures(callers: usize, counts: Vec<CallerCount>, elapsed: time::Duration) -> RepeatFigures {
    let mut figures = RepeatFigures {
        callers,
        answered: 0,
        failed: 0,
        per_second: 0.0,
        p50_us: 0,
        p99_us: 0,
    };
    let Ok(mut latency) = Histogram::<u64>::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS) else {
        return figures;
    };
    for count in counts {
        figures.answered += count.answered;
        figures.failed += count.failed;
        for micros in count.micros {
            latency.saturating_record(u64::from(micros));
        }
    }
    figures.per_second = figures.answered as f64 / elapsed.as_secs_f64();
    figures.p50_us = latency.value_at_quantile(0.5);
    figures.p99_us = latency.value_at_quantile(0.99);
    figures
}

async fn run_callers(plan: &RepeatPlan, callers: usize) -> Vec<CallerCount> {
    let deadline = time::Instant::now() + plan.duration;
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(repeat(plan.clone(), deadline)))
        .collect();
    let mut counts = Vec::new();
    for task in tasks {
        counts.push(task.await.unwrap_or_default());
    }
    counts
}

async fn repeat(plan: RepeatPlan, deadline: time::Instant) -> CallerCount {
    let mut count = CallerCount::default();
    let Ok(mut sender) = http_client::connect(plan.to, CONNECT_TIMEOUT).await else {
        count.failed = 1;
        return count;
    };
    let Some(template) = template(&plan) else {
        return count;
    };
    while time::Instant::now() < deadline {
        let sent_at = time::Instant::now();
        match http_client::read_answer(&mut sender, template.clone(), MAX_ANSWER_BYTES).await {
            Ok(answer) if answer.status == http::StatusCode::OK => {
                count.answered += 1;
                count
                    .micros
                    .push(u32::try_from(sent_at.elapsed().as_micros()).unwrap_or(u32::MAX));
            }
            _ => count.failed += 1,
        }
        if sender.ready().await.is_err() {
            return count;
        }
    }
    count
}

fn template(plan: &RepeatPlan) -> Option<http::Request<RequestBody>> {
    let mut builder = http::Request::get(&plan.path).header(http::header::HOST, "entry");
    for (name, value) in &plan.headers {
        builder = builder.header(name, value);
    }
    builder.body(RequestBody::default()).ok()
}
