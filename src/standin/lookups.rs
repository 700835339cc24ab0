//! Measures look-ups: callers that keep their connections and ask one after the other.

use std::{net, time};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;

use crate::http_client;

const MAX_MICROS: u64 = 60_000_000;
const ASK_LIMIT: time::Duration = time::Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// What was measured.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LookupFigures {
    /// Connections that asked.
    pub callers: usize,
    /// Look-ups answered 200.
    pub answered: u64,
    /// Look-ups that failed.
    pub failed: u64,
    /// Look-ups answered a second.
    pub per_second: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

#[derive(Debug, Default)]
struct CallerCount {
    answered: u64,
    failed: u64,
    micros: Vec<u64>,
}

/// Asks for `limit`, then reports.
pub async fn run(
    entry: net::SocketAddr,
    service: &str,
    callers: usize,
    limit: time::Duration,
) -> LookupFigures {
    let began = time::Instant::now();
    let uri = format!("/lookup?service={service}");
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(ask_until(entry, uri.clone(), began + limit)))
        .collect();
    let mut figures = LookupFigures {
        callers,
        answered: 0,
        failed: 0,
        per_second: 0.0,
        p50_us: 0,
        p99_us: 0,
    };
    let Ok(mut latency) = Histogram::<u64>::new_with_max(MAX_MICROS, 3) else {
        return figures;
    };
    for task in tasks {
        let count = task.await.unwrap_or_default();
        figures.answered += count.answered;
        figures.failed += count.failed;
        for micros in count.micros {
            latency.saturating_record(micros);
        }
    }
    figures.per_second = figures.answered as f64 / began.elapsed().as_secs_f64();
    figures.p50_us = latency.value_at_quantile(0.5);
    figures.p99_us = latency.value_at_quantile(0.99);
    figures
}

async fn ask_until(entry: net::SocketAddr, uri: String, end: time::Instant) -> CallerCount {
    let mut count = CallerCount::default();
    let Ok(mut sender) = http_client::connect(entry, ASK_LIMIT).await else {
        count.failed = 1;
        return count;
    };
    while time::Instant::now() < end {
        let request = http::Request::get(&uri)
            .header(http::header::HOST, "entry")
            .body(Full::<Bytes>::default());
        let Ok(request) = request else {
            return count;
        };
        let asked = time::Instant::now();
        match http_client::read_answer(&mut sender, request, MAX_ANSWER_BYTES).await {
            Ok(answer) if answer.status == http::StatusCode::OK => {
                count.answered += 1;
                count
                    .micros
                    .push(u64::try_from(asked.elapsed().as_micros()).unwrap_or(MAX_MICROS));
            }
            _ => {
                count.failed += 1;
                return count;
            }
        }
        if sender.ready().await.is_err() {
            return count;
        }
    }
    count
}
