//! The configuration role under arbitrary orders of events: generations only grow, an operation
//! takes effect at most once, and what its operator was told is true.

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
    assert_eq!(role.on_offer(&object(5)).len(), 1);
    for older in [1, 4, 5] {
        assert!(
            role.on_offer(&object(older)).is_empty(),
            "generation {older}"
        );
        assert_eq!(role.generation(), 5);
    }
    assert!(
        role.on_peer_generation("entry-2", 4, 8, Moment(0))
            .is_empty(),
        "an old one is not even fetched"
    );
    assert_eq!(
        role.on_peer_generation("entry-2", 6, 8, Moment(0)),
        vec![ConfigAction::Fetch("entry-2".to_owned())]
    );
}

#[test]
fn a_host_with_nothing_trusts_peers_only_when_more_than_half_have_answered_and_the_platform_is_down()
 {
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
        "one of four"
    );
    assert!(
        role.on_peer_generation("entry-3", 0, 4, Moment(4))
            .is_empty(),
        "two of four, one with nothing"
    );
    assert!(
        role.on_peer_generation("entry-4", 2, 4, Moment(5))
            .is_empty(),
        "three of four, but another has a newer one"
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
    /// One host offers another what it has.
    Offer(usize, usize),
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (host.clone(), 0_u8..6, any::<bool>()).prop_map(|(host, operation, expects)| Event::Change(host, operation, expects)),
        4 => (host.clone(), 1_u64..900).prop_map(|(host, millis)| Event::Tick(host, millis)),
        8 => host.clone().prop_map(Event::Answer),
        2 => host.clone().prop_map(Event::LoseAnswer),
        1 => host.clone().prop_map(Event::LoseCall),
        2 => (host.clone(), host).prop_map(|(from, to)| Event::Offer(from, to)),
    ]
}

#[derive(Default)]
struct World {
    stored: Option<(u64, Vec<u8>)>,
    /// Every generation that was ever stored, with the operation that made it.
    history: Vec<(u64, String)>,
    roles: Vec<ConfigRole>,
    calls: Vec<Vec<ConfigAction>>,
    operations: HashMap<u64, String>,
    told: Vec<(String, u64)>,
    now: u64,
    ticket: u64,
}

impl World {
    fn take(&mut self, host: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Answer(answer) => {
                    if let Ok(generation) = answer.result {
                        self.told
                            .push((self.operations[&answer.ticket].clone(), generation));
                    }
                }
                ConfigAction::Read | ConfigAction::Write { .. } => self.calls[host].push(action),
                ConfigAction::Install(_) | ConfigAction::Fetch(_) => {}
            }
        }
    }

    fn call(&mut self, host: usize, heard: bool, carried_out: bool) {
        if self.calls[host].is_empty() {
            return;
        }
        let now = Moment(self.now);
        let actions = if let ConfigAction::Write { bytes, expected } = self.calls[host].remove(0) {
            let result = if carried_out {
                self.write(bytes, expected)
            } else {
                WriteResult::Uncertain
            };
            self.roles[host].on_write(
                if heard {
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
            let result = if heard && carried_out {
                found
            } else {
                ReadResult::Failed
            };
            self.roles[host].on_read(&result, now)
        };
        self.take(host, actions);
    }

    fn write(&mut self, bytes: Vec<u8>, expected: Option<u64>) -> WriteResult {
        if self.stored.as_ref().map(|(version, _)| *version) != expected {
            return WriteResult::Conflict;
        }
        let object = ConfigObject::from_bytes(&bytes).expect("a sound object");
        let operation = object.operations.last().expect("an operation").id.clone();
        self.history.push((object.generation, operation));
        let version = expected.unwrap_or(0) + 1;
        self.stored = Some((version, bytes));
        WriteResult::Stored { version }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Change(host, operation, expects) => {
                self.ticket += 1;
                let id = format!("operation-{operation}");
                self.operations.insert(self.ticket, id.clone());
                let request = ChangeRequest {
                    ticket: self.ticket,
                    operation: id,
                    expected_generation: expects.then(|| self.roles[host].generation()),
                    change: ConfigChange::Drain(DrainEntry::with_name(
                        DrainKind::Host,
                        &format!("h{operation}"),
                    )),
                };
                let actions = self.roles[host].on_change(request, Moment(self.now));
                self.take(host, actions);
            }
            Event::Tick(host, millis) => {
                self.now += millis;
                let actions = self.roles[host].tick(Moment(self.now));
                self.take(host, actions);
            }
            Event::Answer(host) => self.call(host, true, true),
            Event::LoseAnswer(host) => self.call(host, false, true),
            Event::LoseCall(host) => self.call(host, false, false),
            Event::Offer(from, to) => {
                if let Some(object) = self.roles[from].installed().cloned() {
                    let actions = self.roles[to].on_offer(&object);
                    self.take(to, actions);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn generations_grow_by_one_and_operators_are_told_the_truth(events in proptest::collection::vec(event(), 1..150)) {
        let mut world = World {
            roles: (0..HOSTS).map(|_| ConfigRole::new()).collect(),
            calls: vec![Vec::new(); HOSTS],
            ..World::default()
        };
        let mut seen = [0; HOSTS];
        for event in events {
            world.step(event);
            for (host, before) in seen.iter_mut().enumerate() {
                let generation = world.roles[host].generation();
                prop_assert!(generation >= *before, "host {host} went back from {before} to {generation}");
                *before = generation;
            }
        }
        for (index, (generation, _)) in world.history.iter().enumerate() {
            prop_assert_eq!(*generation, index as u64 + 1);
        }
        for (operation, generation) in &world.told {
            prop_assert!(world.history.contains(&(*generation, operation.clone())), "{operation} was told {generation}");
        }
        let mut operations: Vec<&String> = world.history.iter().map(|(_, operation)| operation).collect();
        operations.sort();
        operations.dedup();
        prop_assert_eq!(operations.len(), world.history.len(), "an operation took effect twice");
    }
}

#[test]
fn changes_that_wait_are_bounded() {
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
    assert_eq!(refused, 40 - 17, "sixteen wait behind the one under way");
}
