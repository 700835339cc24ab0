//! An open-loop load generator: arrivals depend on the seed and the clock, not on the answers.
//!
//! Latency is measured from the planned arrival and includes retries. So a slow system does not
//! look faster by delaying later requests (coordinated omission).

use std::{cell, collections, fmt, net, rc, time};

use hdrhistogram::Histogram;
use rand::Rng as _;
use rand::SeedableRng as _;

use super::caller::{CallerClient, CallerRequest, CallerResult};
use crate::result_code::RequestOutcome;
use crate::timer;

const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A class of the mix.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
    /// Its weight in goodput.
    pub weight: u32,
    /// Its relative frequency among all requests.
    pub parts: u32,
    /// Mean work time on a server, in milliseconds.
    pub work_ms: u64,
    /// Size of the answer, in bytes.
    pub answer_bytes: usize,
    /// Its deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether it needs a claim key.
    pub claimed: bool,
}

/// The load to generate.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Entry hosts that callers send look-ups to.
    pub entries: Vec<net::SocketAddr>,
    /// The mix.
    pub mix: Vec<MixEntry>,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub requests: u64,
    /// Seed of arrivals, mix and work.
    pub seed: u64,
    /// Caller addresses to state as a trusted forwarder; if empty, none is stated.
    pub from: Vec<net::IpAddr>,
    /// Whether refused callers retry after the advised time, until their deadline.
    pub retry: bool,
}

/// The figures of one class.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ClassFigures {
    /// Service and class.
    pub class: String,
    /// Weight of one request.
    pub weight: u32,
    /// Number of requests.
    pub requests: u64,
    /// Answered correctly and in time.
    pub in_time: u64,
    /// Answered correctly, but late.
    pub late: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Ended with an unknown outcome.
    pub unknown: u64,
    /// Without a usable answer.
    pub no_answer: u64,
    /// Reported as answered, but the body was incomplete or belonged to another request.
    pub wrong: u64,
    /// Answers with a server's error status.
    pub server_errors: u64,
    /// Median latency in milliseconds, of answered requests.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// The figures of a load.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The seed.
    pub seed: u64,
    /// Planned requests per second.
    pub rate: f64,
    /// Seconds from the first arrival to the last answer.
    pub seconds: f64,
    /// Weighted share of requests answered correctly and in time.
    pub weighted_goodput: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// Answers by hall.
    pub halls: collections::BTreeMap<String, u64>,
    /// Result codes that callers received, retries included.
    pub codes: collections::BTreeMap<String, u64>,
}

impl LoadReport {
    /// Returns the number of requests whose answer was incomplete or another request's.
    #[must_use]
    pub fn wrong(&self) -> u64 {
        self.classes.iter().map(|class| class.wrong).sum()
    }

    /// Returns the number of requests without a correct answer.
    #[must_use]
    pub fn unanswered(&self) -> u64 {
        let answered = |class: &ClassFigures| class.in_time + class.late;
        self.classes
            .iter()
            .map(|class| class.requests - answered(class))
            .sum()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<28}{:>9}{:>9}{:>7}{:>9}{:>9}{:>7}{:>10}{:>10}{:>10}",
            "class",
            "requests",
            "in time",
            "late",
            "not run",
            "unknown",
            "wrong",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for class in &self.classes {
            writeln!(
                f,
                "{:<28}{:>9}{:>9}{:>7}{:>9}{:>9}{:>7}{:>10.2}{:>10.2}{:>10.2}",
                class.class,
                class.requests,
                class.in_time,
                class.late,
                class.not_run,
                class.unknown + class.no_answer,
                class.wrong,
                class.p50_ms,
                class.p99_ms,
                class.p999_ms
            )?;
        }
        write!(
            f,
            "weighted goodput {:.4}, {:.1} s at {:.0} requests/s, seed {}",
            self.weighted_goodput, self.seconds, self.rate, self.seed
        )
    }
}

struct ClassCounter {
    figures: ClassFigures,
    latency: Histogram<u64>,
}

struct LoadState {
    classes: Vec<ClassCounter>,
    halls: collections::BTreeMap<String, u64>,
    codes: collections::BTreeMap<String, u64>,
    /// Idle callers by their address.
    callers: collections::HashMap<Option<net::IpAddr>, Vec<CallerClient>>,
}

struct Arrival {
    class: usize,
    at: tokio::time::Instant,
    request: CallerRequest,
}

/// Generates the load on the current thread and returns when all requests have ended.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let state = rc::Rc::new(cell::RefCell::new(LoadState {
        classes: plan.mix.iter().map(new_counter).collect(),
        halls: collections::BTreeMap::new(),
        codes: collections::BTreeMap::new(),
        callers: collections::HashMap::new(),
    }));
    let began = tokio::time::Instant::now();
    let local = tokio::task::LocalSet::new();
    local
        .run_until(drive(plan, rc::Rc::clone(&state), began))
        .await;
    local.await;
    let state = state.borrow();
    report(plan, &state, began.elapsed())
}

async fn drive(
    plan: &LoadPlan,
    state: rc::Rc<cell::RefCell<LoadState>>,
    began: tokio::time::Instant,
) {
    let mut random = rand::rngs::SmallRng::seed_from_u64(plan.seed);
    let run_id = timer::unix_millis();
    let mut offset = 0.0;
    for number in 0..plan.requests {
        offset += -random.random_range(f64::EPSILON..1.0_f64).ln() / plan.rate;
        let at = began + time::Duration::from_secs_f64(offset);
        let arrival = plan_arrival(plan, &mut random, run_id, number, at);
        tokio::time::sleep_until(at).await;
        let state = rc::Rc::clone(&state);
        let entries = plan.entries.clone();
        let retry = plan.retry;
        tokio::task::spawn_local(async move {
            serve_arrival(&state, entries, arrival, retry).await;
        });
    }
}

fn plan_arrival(
    plan: &LoadPlan,
    random: &mut rand::rngs::SmallRng,
    run_id: u64,
    number: u64,
    at: tokio::time::Instant,
) -> Arrival {
    let total: u32 = plan.mix.iter().map(|entry| entry.parts).sum();
    let mut sample = random.random_range(0..total.max(1));
    let mut class = 0;
    for (index, entry) in plan.mix.iter().enumerate() {
        class = index;
        if sample < entry.parts {
            break;
        }
        sample -= entry.parts;
    }
    let entry = &plan.mix[class];
    let from = (!plan.from.is_empty()).then(|| plan.from[random.random_range(0..plan.from.len())]);
    let spread: f64 = random.random_range(0.5..1.5);
    let request = CallerRequest {
        service: entry.service.clone(),
        class: entry.class.clone(),
        id: format!("load-{:x}-{:x}-{number}", run_id, plan.seed),
        deadline: time::Duration::from_millis(entry.deadline_ms),
        work_ms: (entry.work_ms as f64 * spread).round() as u64,
        answer_bytes: entry.answer_bytes,
        claim_key: entry
            .claimed
            .then(|| format!("{}-load-{:x}-{number}", timer::unix_millis(), plan.seed)),
        from,
        extra_query: String::new(),
    };
    Arrival { class, at, request }
}

async fn serve_arrival(
    state: &cell::RefCell<LoadState>,
    entries: Vec<net::SocketAddr>,
    arrival: Arrival,
    retry: bool,
) {
    let from = arrival.request.from;
    let taken = state.borrow_mut().callers.entry(from).or_default().pop();
    let mut caller = taken.unwrap_or_else(|| CallerClient::with_entries(entries));
    let deadline = arrival.at + arrival.request.deadline;
    let mut attempt = 0;
    let result = loop {
        attempt += 1;
        let mut request = arrival.request.clone();
        request.id = format!("{}-{attempt}", request.id);
        request.deadline = deadline.saturating_duration_since(tokio::time::Instant::now());
        let result = caller.send(&request).await;
        count_code(state, &result);
        let wait = result.retry_after_ms.map(time::Duration::from_millis);
        let may_retry = retry && result.outcome == Some(RequestOutcome::NotRun);
        match wait.filter(|wait| may_retry && tokio::time::Instant::now() + *wait < deadline) {
            Some(wait) => tokio::time::sleep(wait).await,
            None => break result,
        }
    };
    let mut state = state.borrow_mut();
    state.callers.entry(from).or_default().push(caller);
    count_result(&mut state, &arrival, &result);
}

fn count_code(state: &cell::RefCell<LoadState>, result: &CallerResult) {
    let code = result
        .code
        .map_or_else(|| "none".to_owned(), |code| code.to_string());
    *state.borrow_mut().codes.entry(code).or_default() += 1;
}

fn count_result(state: &mut LoadState, arrival: &Arrival, result: &CallerResult) {
    let latency = arrival.at.elapsed();
    if let Some(hall) = &result.hall {
        *state.halls.entry(hall.clone()).or_default() += 1;
    }
    let Some(counter) = state.classes.get_mut(arrival.class) else {
        return;
    };
    let figures = &mut counter.figures;
    figures.requests += 1;
    match result.outcome {
        Some(RequestOutcome::Answered) if result.status.is_some_and(|status| status >= 500) => {
            figures.server_errors += 1;
        }
        Some(RequestOutcome::Answered) if !result.whole => figures.wrong += 1,
        Some(RequestOutcome::Answered) => {
            if latency <= arrival.request.deadline {
                figures.in_time += 1;
            } else {
                figures.late += 1;
            }
            let micros = u64::try_from(latency.as_micros())
                .unwrap_or(MAX_MICROS)
                .min(MAX_MICROS);
            counter.latency.saturating_record(micros);
        }
        Some(RequestOutcome::NotRun) => figures.not_run += 1,
        Some(RequestOutcome::Unknown) => figures.unknown += 1,
        None => figures.no_answer += 1,
    }
}

fn new_counter(entry: &MixEntry) -> ClassCounter {
    let latency = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
    ClassCounter {
        figures: ClassFigures {
            class: format!("{}/{}", entry.service, entry.class),
            weight: entry.weight,
            requests: 0,
            in_time: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            no_answer: 0,
            wrong: 0,
            server_errors: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
        },
        latency: latency.unwrap_or_else(|_fault| unreachable!("the bounds are constants")),
    }
}

fn report(plan: &LoadPlan, state: &LoadState, elapsed: time::Duration) -> LoadReport {
    let millis = |counter: &ClassCounter, quantile: f64| {
        counter.latency.value_at_quantile(quantile) as f64 / 1_000.0
    };
    let mut classes = Vec::new();
    for counter in &state.classes {
        let mut figures = counter.figures.clone();
        figures.p50_ms = millis(counter, 0.50);
        figures.p99_ms = millis(counter, 0.99);
        figures.p999_ms = millis(counter, 0.999);
        classes.push(figures);
    }
    let weighted = |count: fn(&ClassFigures) -> u64| -> f64 {
        classes
            .iter()
            .map(|class| count(class) as f64 * f64::from(class.weight))
            .sum()
    };
    let all = weighted(|class| class.requests);
    let good = weighted(|class| class.in_time);
    LoadReport {
        seed: plan.seed,
        rate: plan.rate,
        seconds: elapsed.as_secs_f64(),
        weighted_goodput: if all > 0.0 { good / all } else { 1.0 },
        classes,
        halls: state.halls.clone(),
        codes: state.codes.clone(),
    }
}
