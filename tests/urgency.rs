//! Tests of the decisions about patient and urgent requests, without a network.
//!
//! The replays send a mix of short urgent and long patient requests to servers that process in the
//! order of arrival. They guard against urgent requests that wait behind patient ones, and against
//! patient requests that are held longer than their goal allows.

use std::collections::VecDeque;

use ledgespool::entry::budget::{RetryShare, RetryWindow};
use ledgespool::timer::Moment;
use ledgespool::urgency::classes::{RouteUrgency, UrgencyClass, UrgencyTable};
use ledgespool::urgency::pipeline::RequestPipeline;
use ledgespool::urgency::refusal::RefusedRequest;
use ledgespool::urgency::reserve::SlotUse;
use ledgespool::urgency::waiting::{
    FreeSlot, PlaceOffer, WaitDecision, WaitLimits, WaitTicket, WaitingLine,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

const SERVERS: u64 = 4;
const SLOTS: u32 = 9;
const STEP_MS: u64 = 10;
const REPLAY_MS: u64 = 120_000;
/// Waiting requests compare the servers again after this time, in milliseconds.
const RECHECK_MS: u64 = 100;
const URGENT_GOAL_MS: u64 = 800;
const URGENT_WORK_MS: u64 = 340;
const PATIENT_GOAL_MS: u64 = 8_000;
const PATIENT_HIT_MS: u64 = 1_700;
const PATIENT_MISS_MS: u64 = 5_600;
const URGENT_PER_S: f64 = 12.0;

#[derive(Debug, Clone, Copy)]
struct Request {
    is_patient: bool,
    arrived: Moment,
    work_ms: u64,
    place: u64,
}

/// Number of requests that were answered in time, and of all.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    in_time: u32,
    all: u32,
}

impl Outcome {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all)
    }
}

/// Servers that process in the order of arrival, and one host that knows their loads.
#[derive(Debug, Default)]
struct Replay {
    /// The requests at each server with their ends; only the first [`SLOTS`] are processed.
    servers: Vec<VecDeque<(Request, Option<Moment>)>>,
    line: WaitingLine,
    waiting: Vec<(Request, WaitTicket)>,
    slot_use: SlotUse,
    urgent: Outcome,
    patient: Outcome,
    /// The longest time between a request's arrival and its sending, in milliseconds.
    longest_wait_ms: u64,
}

impl Replay {
    /// Runs a load whose patient requests come in bursts, `patient_per_s` in the mean.
    fn run(seed: u64, patient_per_s: f64) -> Self {
        let mut replay = Self {
            servers: vec![VecDeque::new(); SERVERS as usize],
            ..Self::default()
        };
        let mut random = SmallRng::seed_from_u64(seed);
        for step in 0..REPLAY_MS / STEP_MS {
            let now = Moment(step * STEP_MS);
            let burst = if (now.0 / 5_000).is_multiple_of(2) {
                1.6
            } else {
                0.4
            };
            replay.process(now);
            for (is_patient, per_s) in [(false, URGENT_PER_S), (true, patient_per_s * burst)] {
                if random.random_bool(per_s * STEP_MS as f64 / 1_000.0) {
                    let request = draw_request(is_patient, now, &mut random);
                    replay.on_arrival(request, now);
                }
            }
            if now.0.is_multiple_of(RECHECK_MS) {
                replay.recheck(now);
            }
        }
        replay
    }

    fn on_arrival(&mut self, request: Request, now: Moment) {
        if !request.is_patient {
            return self.send(request, now);
        }
        let latest_start = limits(&request).latest_start();
        let offer = self.offer(&request, now);
        match self.line.on_arrival(&offer, latest_start, now) {
            WaitDecision::Send | WaitDecision::SlackEnded => self.send(request, now),
            WaitDecision::Wait | WaitDecision::LetPass(_) => {
                match self.line.join(request.place, latest_start, 1_000) {
                    Some(ticket) => self.waiting.push((request, ticket)),
                    None => self.send(request, now),
                }
            }
        }
    }

    fn recheck(&mut self, now: Moment) {
        for (request, ticket) in std::mem::take(&mut self.waiting) {
            let offer = self.offer(&request, now);
            match self.line.on_wake(&offer, ticket, now) {
                WaitDecision::Send | WaitDecision::SlackEnded => {
                    self.line.leave(ticket);
                    self.send(request, now);
                }
                WaitDecision::Wait | WaitDecision::LetPass(_) => {
                    self.waiting.push((request, ticket));
                }
            }
        }
    }

    fn offer(&self, request: &Request, now: Moment) -> PlaceOffer {
        let load = self.servers[request.place as usize].len() as f64;
        let usable = f64::from(SLOTS) * (1.0 - self.slot_use.reserved_share(SLOTS, now));
        let free_slot = if load + 1.0 <= usable {
            FreeSlot::Unreserved
        } else if load + 1.0 <= f64::from(SLOTS) {
            FreeSlot::Reserved
        } else {
            FreeSlot::Taken
        };
        PlaceOffer {
            place: request.place,
            free_slot,
            reserved_from: limits(request).reserved_from(),
        }
    }

    fn send(&mut self, request: Request, now: Moment) {
        let wait_ms = now.since(request.arrived);
        self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
        let slot_ms = request.work_ms as f64;
        self.slot_use.on_sent(request.is_patient, slot_ms, now);
        self.servers[request.place as usize].push_back((request, None));
    }

    /// Ends the requests that are done, and starts the next.
    fn process(&mut self, now: Moment) {
        for server in &mut self.servers {
            server.retain(|(request, end)| {
                let is_done = end.is_some_and(|end| end <= now);
                if is_done {
                    let (outcome, goal_ms) = if request.is_patient {
                        (&mut self.patient, PATIENT_GOAL_MS)
                    } else {
                        (&mut self.urgent, URGENT_GOAL_MS)
                    };
                    outcome.all += 1;
                    outcome.in_time += u32::from(now.since(request.arrived) <= goal_ms);
                }
                !is_done
            });
            for (request, end) in server.iter_mut().take(SLOTS as usize) {
                end.get_or_insert(now.plus(request.work_ms));
            }
        }
    }
}

fn draw_request(is_patient: bool, now: Moment, random: &mut SmallRng) -> Request {
    let work_ms = match (is_patient, random.random_bool(0.1)) {
        (false, _) => URGENT_WORK_MS,
        (true, false) => PATIENT_HIT_MS,
        (true, true) => PATIENT_MISS_MS,
    };
    Request {
        is_patient,
        arrived: now,
        work_ms,
        place: random.random_range(0..SERVERS),
    }
}

fn limits(request: &Request) -> WaitLimits {
    WaitLimits {
        sent_from: request.arrived,
        goal_ms: PATIENT_GOAL_MS,
        deadline: request.arrived.plus(30_000),
        answer_ms: PATIENT_HIT_MS as f64,
    }
}

/// Guards against urgent requests that are late because patient requests hold or await all slots of
/// their server. Bursts of patient requests need more than all slots, while the mean load of two
/// thirds leaves time to serve everyone.
#[test]
fn urgent_requests_are_in_time_as_often_as_patient_ones() {
    for seed in 0..5 {
        let replay = Replay::run(seed, 9.5);
        let (urgent, patient) = (replay.urgent, replay.patient);
        assert!(urgent.all > 1_000 && patient.all > 1_000, "{replay:?}");
        assert!(
            urgent.share() >= patient.share(),
            "seed {seed}: urgent {urgent:?}, patient {patient:?}"
        );
        assert!(patient.share() > 0.9, "seed {seed}: patient {patient:?}");
    }
}

/// Guards against patient requests that starve: more arrive than the servers can process, so slots
/// below the share are rarely free, and each request must be sent once its slack is used up.
#[test]
fn no_patient_request_is_held_beyond_its_slack() {
    for seed in 0..5 {
        let replay = Replay::run(seed, 30.0);
        let any = draw_request(true, Moment(0), &mut SmallRng::seed_from_u64(seed));
        let slack_ms = limits(&any).latest_start().0;
        assert!(
            replay.longest_wait_ms <= slack_ms + RECHECK_MS,
            "seed {seed}: {} ms of {slack_ms}",
            replay.longest_wait_ms
        );
        assert!(replay.longest_wait_ms > slack_ms / 2, "the load is high");
    }
}

/// Guards against callers that send several requests at once on a connection and get the last ones
/// late because the host held each in turn: together they are held no longer than one alone.
#[test]
fn the_requests_of_a_connection_share_their_slack() {
    let mut pipeline = RequestPipeline::default();
    let mut now = Moment(1_000);
    let mut held_ms = 0;
    for _ in 0..4 {
        let limits = WaitLimits {
            sent_from: pipeline.on_request(now),
            goal_ms: PATIENT_GOAL_MS,
            deadline: now.plus(30_000),
            answer_ms: PATIENT_HIT_MS as f64,
        };
        let start = limits.latest_start().max(now);
        held_ms += start.since(now);
        now = start.plus(PATIENT_HIT_MS);
        pipeline.on_answer(now);
    }
    assert!(held_ms > 0 && held_ms < PATIENT_GOAL_MS, "{held_ms} ms");
    // The caller reads the answer and sends the next request one round trip later.
    now = now.plus(16);
    assert_eq!(pipeline.on_request(now), now);
}

/// Guards against idle slots: without urgent requests, and some time after the last one, patient
/// requests may use all slots.
#[test]
fn no_slot_is_reserved_for_requests_that_do_not_come() {
    let mut slot_use = SlotUse::default();
    assert!(slot_use.reserved_share(SLOTS, Moment(0)).abs() < f64::EPSILON);
    slot_use.on_sent(false, 300.0, Moment(1_000));
    for second in 1..40 {
        slot_use.on_sent(true, 1_700.0, Moment(second * 1_000));
    }
    assert!(slot_use.reserved_share(SLOTS, Moment(20_000)) > 0.0);
    assert!(slot_use.reserved_share(SLOTS, Moment(40_000)).abs() < f64::EPSILON);
    // One slot cannot be shared.
    slot_use.on_sent(false, 300.0, Moment(40_000));
    assert!(slot_use.reserved_share(1, Moment(40_000)).abs() < f64::EPSILON);
}

/// Guards against a host that runs out of memory while its servers are full: requests beyond the
/// bounds in number and bytes are not held, and those that leave make room.
#[test]
fn a_host_holds_a_bounded_number_of_requests_and_bytes() {
    let mut line = WaitingLine::default();
    let mut tickets = Vec::new();
    while let Some(ticket) = line.join(1, Moment(9), 1_000) {
        tickets.push(ticket);
        assert!(tickets.len() < 10_000, "the number is bounded");
    }
    assert_eq!(line.len(), tickets.len());
    line.leave(tickets[0]);
    assert!(line.join(1, Moment(9), 1_000).is_some());
    let mut large = WaitingLine::default();
    let held = (0..100).filter(|_| large.join(1, Moment(9), 1 << 20).is_some());
    assert!(held.count() < 10, "the bytes are bounded");
}

/// Guards against a slot that stays idle because the first request in line was given up by its
/// caller: the next one takes its place.
#[test]
fn the_next_request_takes_the_slot_of_a_caller_that_left() {
    let mut line = WaitingLine::default();
    let first = line.join(1, Moment(500), 100).expect("room");
    let second = line.join(1, Moment(900), 100).expect("room");
    let free = PlaceOffer {
        place: 1,
        free_slot: FreeSlot::Unreserved,
        reserved_from: Moment(0),
    };
    let now = Moment(100);
    assert_eq!(
        line.on_wake(&free, second, now),
        WaitDecision::LetPass(first)
    );
    line.leave(first);
    assert_eq!(line.first_at(1), Some(second));
    assert_eq!(line.on_wake(&free, second, now), WaitDecision::Send);
    // A request that has moved to another server is not in the way either.
    let other = PlaceOffer { place: 2, ..free };
    assert_eq!(line.on_wake(&other, second, now), WaitDecision::Send);
    assert_eq!(line.first_at(1), None);
}

/// Guards against reads that use up the retry budget before a request that may run only once needs
/// it, and against a total beyond the budget.
#[test]
fn the_last_part_of_the_retry_budget_is_kept() {
    let share = RetryShare {
        ratio: 0.2,
        slack: 0.0,
        hosts: 1,
    };
    let mut window = RetryWindow::with_length(10_000);
    // A quarter of the budget of a window can be saved: 16 retries.
    for _ in 0..320 {
        window.on_request(&share, Moment(0));
    }
    let mut count = |part: f64| {
        let tries = 0..1_000;
        tries
            .filter(|_| window.try_retry_within(&share, part, Moment(1)))
            .count()
    };
    let others = count(0.7);
    let kept = count(1.0);
    assert_eq!((others, kept), (11, 5));
    let mut plain = RetryWindow::with_length(10_000);
    for _ in 0..320 {
        plain.on_request(&share, Moment(0));
    }
    let all = (0..1_000).filter(|_| plain.try_retry(&share, Moment(1)));
    assert_eq!(all.count(), others + kept);
}

proptest! {
    /// Guards against services that are served differently although their routes have the same
    /// priority, and against patient routes without a more urgent one.
    #[test]
    fn a_route_is_patient_only_beside_a_more_urgent_one(
        routes in proptest::collection::vec((0_u32..3, 0_u64..10_000), 1..5),
    ) {
        let names: Vec<String> = (0..routes.len()).map(|number| number.to_string()).collect();
        let list: Vec<RouteUrgency<'_>> = routes
            .iter()
            .zip(&names)
            .map(|((priority, goal_ms), name)| RouteUrgency {
                service: "desk",
                route: name,
                priority: *priority,
                goal_ms: *goal_ms,
            })
            .collect();
        let table = UrgencyTable::from_routes(&list);
        let first = list.iter().map(|route| route.priority).min();
        let is_ranked = list.iter().any(|route| Some(route.priority) != first);
        for route in &list {
            let class = table.class_of("desk", route.route);
            prop_assert_eq!(class.is_some(), is_ranked);
            let is_urgent = Some(route.priority) == first;
            prop_assert!(class.is_none_or(|class| (class == UrgencyClass::Urgent) == is_urgent));
        }
    }

    /// Guards against retry times so late that the retry cannot meet the goal, and against patient
    /// callers that return before they were told to.
    #[test]
    fn patient_callers_retry_later_but_in_time(
        retry_after_ms in 10_u64..3_000,
        typical_ms in 10.0_f64..3_000.0,
        goal_left_ms in 0.0_f64..8_000.0,
        random in 0.0_f64..1.0,
    ) {
        let refused = RefusedRequest {
            class: UrgencyClass::Patient,
            retry_after_ms,
            typical_ms,
            goal_left_ms,
        };
        let retry_ms = refused.ordered_retry_ms(random);
        prop_assert!(retry_ms >= retry_after_ms);
        let is_useful = retry_ms as f64 + typical_ms <= goal_left_ms;
        prop_assert!(is_useful || retry_ms == retry_after_ms);
        let urgent = RefusedRequest { class: UrgencyClass::Urgent, ..refused };
        prop_assert_eq!(urgent.ordered_retry_ms(random), retry_after_ms);
    }

    /// Guards against a reserve that takes more than half of a server from patient requests.
    #[test]
    fn at_most_half_of_the_slots_are_reserved(
        sends in proptest::collection::vec((any::<bool>(), 1.0_f64..6_000.0), 1..50),
        slots in 1_u32..64,
    ) {
        let mut slot_use = SlotUse::default();
        for (is_patient, slot_ms) in sends {
            slot_use.on_sent(is_patient, slot_ms, Moment(0));
        }
        let share = slot_use.reserved_share(slots, Moment(1));
        prop_assert!((0.0..=0.5).contains(&share));
    }
}
