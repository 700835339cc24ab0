//! Tests of the configuration role with arbitrary orders of events: generations only grow, an
//! operation takes effect at most once, and every answer to an operator is correct.

use std::collections::HashMap;
use std::sync::Arc;

use ledgespool::config_object::{AppliedOperation, ConfigChange, ConfigObject};
use ledgespool::config_role::{ChangeRequest, ConfigAction, ConfigRole};
use ledgespool::declaration::{DrainEntry, DrainKind, SteeringDeclaration};
use ledgespool::platform_call::{ReadResult, WriteResult};
use ledgespool::result_code::ResultCode;
use ledgespool::timer::Moment;
use proptest::prelude::*;

const HOSTS: usize = 3;

fn object(generation: u64) -> ConfigObject {
    ConfigObject {
        generation,
        operations: vec![AppliedOperation {
            id: format!("operation-{generation}"),
            generation,
        }],
        declaration: Arc::new(SteeringDeclaration::default()),
    }
}

#[test]
fn an_older_generation_is_never_installed() {
    let mut role = ConfigRole::new();
    assert_eq!(role.on_received(&object(5)).len(), 1);
    for older in [1, 4, 5] {
        assert!(
            role.on_received(&object(older)).is_empty(),
            "generation {older}"
        );
        assert_eq!(role.generation(), 5);
    }
    assert!(
        role.on_peer_generation("entry-2", 4, 8, Moment(0))
            .is_empty(),
        "an older generation is not fetched"
    );
    assert_eq!(
        role.on_peer_generation("entry-2", 6, 8, Moment(0)),
        vec![ConfigAction::Fetch("entry-2".to_owned())]
    );
}

#[test]
fn a_host_without_configuration_trusts_peers_only_if_most_reported_and_the_platform_is_down() {
    let mut role = ConfigRole::new();
    assert_eq!(role.tick(Moment(0)), vec![ConfigAction::Read]);
    assert!(
        role.on_peer_generation("entry-2", 3, 4, Moment(1))
            .is_empty(),
        "the platform may still answer"
    );
    role.on_read(&ReadResult::Failed, Moment(2));
    assert!(
        role.on_peer_generation("entry-2", 3, 4, Moment(3))
            .is_empty(),
        "one of four peers reported"
    );
    assert!(
        role.on_peer_generation("entry-3", 0, 4, Moment(4))
            .is_empty(),
        "two of four peers reported, one without a configuration"
    );
    assert!(
        role.on_peer_generation("entry-4", 2, 4, Moment(5))
            .is_empty(),
        "three of four peers reported, but another one has a newer generation"
    );
    assert_eq!(
        role.on_peer_generation("entry-2", 3, 4, Moment(6)),
        vec![ConfigAction::Fetch("entry-2".to_owned())]
    );
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Change(usize, u8, bool),
    Tick(usize, u64),
    Answer(usize),
    LoseAnswer(usize),
    LoseCall(usize),
    /// One host sends its configuration to another.
    Send(usize, usize),
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (host.clone(), 0_u8..6, any::<bool>()).prop_map(|(host, operation, is_conditional)| Event::Change(host, operation, is_conditional)),
        4 => (host.clone(), 1_u64..900).prop_map(|(host, millis)| Event::Tick(host, millis)),
        8 => host.clone().prop_map(Event::Answer),
        2 => host.clone().prop_map(Event::LoseAnswer),
        1 => host.clone().prop_map(Event::LoseCall),
        2 => (host.clone(), host).prop_map(|(from, to)| Event::Send(from, to)),
    ]
}

#[derive(Default)]
struct Simulation {
    stored: Option<(u64, Vec<u8>)>,
    /// Every generation that was stored, with the operation that created it.
    history: Vec<(u64, String)>,
    roles: Vec<ConfigRole>,
    calls: Vec<Vec<ConfigAction>>,
    operations: HashMap<u64, String>,
    answers: Vec<(String, u64)>,
    now: u64,
    ticket: u64,
}

impl Simulation {
    fn process(&mut self, host: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Answer(answer) => {
                    if let Ok(generation) = answer.result {
                        self.answers
                            .push((self.operations[&answer.ticket].clone(), generation));
                    }
                }
                ConfigAction::Read | ConfigAction::Write { .. } => self.calls[host].push(action),
                ConfigAction::Install(_) | ConfigAction::Fetch(_) => {}
            }
        }
    }

    fn finish_call(&mut self, host: usize, answer_arrives: bool, is_executed: bool) {
        if self.calls[host].is_empty() {
            return;
        }
        let now = Moment(self.now);
        let actions = if let ConfigAction::Write { bytes, expected } = self.calls[host].remove(0) {
            let result = if is_executed {
                self.write(bytes, expected)
            } else {
                WriteResult::Uncertain
            };
            self.roles[host].on_write(
                if answer_arrives {
                    result
                } else {
                    WriteResult::Uncertain
                },
                now,
            )
        } else {
            let found = self
                .stored
                .as_ref()
                .map_or(ReadResult::Absent, |(version, bytes)| ReadResult::Found {
                    bytes: bytes.clone(),
                    version: *version,
                });
            let result = if answer_arrives && is_executed {
                found
            } else {
                ReadResult::Failed
            };
            self.roles[host].on_read(&result, now)
        };
        self.process(host, actions);
    }

    fn write(&mut self, bytes: Vec<u8>, expected: Option<u64>) -> WriteResult {
        if self.stored.as_ref().map(|(version, _)| *version) != expected {
            return WriteResult::Conflict;
        }
        let object = ConfigObject::from_bytes(&bytes).expect("a valid object");
        let operation = object.operations.last().expect("an operation").id.clone();
        self.history.push((object.generation, operation));
        let version = expected.unwrap_or(0) + 1;
        self.stored = Some((version, bytes));
        WriteResult::Stored { version }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Change(host, operation, is_conditional) => {
                self.ticket += 1;
                let id = format!("operation-{operation}");
                self.operations.insert(self.ticket, id.clone());
                let request = ChangeRequest {
                    ticket: self.ticket,
                    operation: id,
                    expected_generation: is_conditional.then(|| self.roles[host].generation()),
                    change: ConfigChange::Drain(DrainEntry::with_name(
                        DrainKind::Host,
                        &format!("h{operation}"),
                    )),
                };
                let actions = self.roles[host].on_change(request, Moment(self.now));
                self.process(host, actions);
            }
            Event::Tick(host, millis) => {
                self.now += millis;
                let actions = self.roles[host].tick(Moment(self.now));
                self.process(host, actions);
            }
            Event::Answer(host) => self.finish_call(host, true, true),
            Event::LoseAnswer(host) => self.finish_call(host, false, true),
            Event::LoseCall(host) => self.finish_call(host, false, false),
            Event::Send(from, to) => {
                if let Some(object) = self.roles[from].installed().cloned() {
                    let actions = self.roles[to].on_received(&object);
                    self.process(to, actions);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn generations_grow_by_one_and_answers_to_operators_are_correct(events in proptest::collection::vec(event(), 1..150)) {
        let mut simulation = Simulation {
            roles: (0..HOSTS).map(|_| ConfigRole::new()).collect(),
            calls: vec![Vec::new(); HOSTS],
            ..Simulation::default()
        };
        let mut seen = [0; HOSTS];
        for event in events {
            simulation.step(event);
            for (host, before) in seen.iter_mut().enumerate() {
                let generation = simulation.roles[host].generation();
                prop_assert!(generation >= *before, "host {host} regressed from {before} to {generation}");
                *before = generation;
            }
        }
        for (index, (generation, _)) in simulation.history.iter().enumerate() {
            prop_assert_eq!(*generation, index as u64 + 1);
        }
        for (operation, generation) in &simulation.answers {
            prop_assert!(simulation.history.contains(&(*generation, operation.clone())), "the answer to {operation} was {generation}");
        }
        let mut operations: Vec<&String> = simulation.history.iter().map(|(_, operation)| operation).collect();
        operations.sort();
        operations.dedup();
        prop_assert_eq!(operations.len(), simulation.history.len(), "an operation took effect twice");
    }
}

#[test]
fn pending_changes_are_bounded() {
    let mut role = ConfigRole::new();
    let mut refused = 0;
    for ticket in 0..40 {
        let request = ChangeRequest {
            ticket,
            operation: format!("operation-{ticket}"),
            expected_generation: None,
            change: ConfigChange::Drain(DrainEntry::with_name(DrainKind::Host, "h")),
        };
        for action in role.on_change(request, Moment(0)) {
            if let ConfigAction::Answer(answer) = action {
                assert_eq!(
                    answer.result.expect_err("a refusal").code,
                    ResultCode::ControlBusy
                );
                refused += 1;
            }
        }
    }
    assert_eq!(
        refused,
        40 - 17,
        "sixteen changes are pending behind the active one"
    );
}
