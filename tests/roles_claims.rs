//! Property tests of the claim role under arbitrary orders of events: several owners at once, lost
//! answers, writes that take effect late, and outages. A key is granted to at most one attempt.

use std::collections::{HashMap, HashSet};

use ledgespool::claim::{ClaimAttempt, ClaimKey, ClaimShard, ClaimVerdict};
use ledgespool::claim_role::{ClaimAction, ClaimAnswer, ClaimRequest, ClaimRole, ClaimWindow};
use ledgespool::platform_call::{ReadResult, WriteResult};
use ledgespool::timer::Moment;
use proptest::prelude::*;

const HOSTS: usize = 3;
const KEYS: u64 = 3;
const WALL: ClaimWindow = ClaimWindow {
    now_unix_ms: 1_700_000_000_000,
    window_ms: 900_000,
};

#[derive(Debug, Clone, Copy)]
enum Event {
    Claim(usize, u64),
    Tick(usize, u64),
    /// Execute the oldest call of a host and deliver the answer.
    Answer(usize),
    /// Execute the oldest call and lose the answer.
    LoseAnswer(usize),
    /// Lose the call itself.
    LoseCall(usize),
    /// Report the answer as lost and execute the write at a later event.
    Delay(usize),
    /// Execute the oldest delayed write.
    Arrive,
    /// A granted attempt was certainly not run, and its key is released.
    Release(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (host.clone(), 0..KEYS).prop_map(|(host, key)| Event::Claim(host, key)),
        4 => (host.clone(), 1_u64..700).prop_map(|(host, millis)| Event::Tick(host, millis)),
        8 => host.clone().prop_map(Event::Answer),
        2 => host.clone().prop_map(Event::LoseAnswer),
        1 => host.clone().prop_map(Event::LoseCall),
        2 => host.clone().prop_map(Event::Delay),
        2 => Just(Event::Arrive),
        1 => host.prop_map(Event::Release),
    ]
}

#[derive(Default)]
struct Store {
    revision: u64,
    objects: HashMap<u16, (u64, Vec<u8>)>,
}

impl Store {
    fn read(&self, shard: u16) -> ReadResult {
        self.objects
            .get(&shard)
            .map_or(ReadResult::Absent, |(version, bytes)| ReadResult::Found {
                bytes: bytes.clone(),
                version: *version,
            })
    }

    fn write(&mut self, shard: u16, bytes: Vec<u8>, expected: Option<u64>) -> WriteResult {
        if self.objects.get(&shard).map(|(version, _)| *version) != expected {
            return WriteResult::Conflict;
        }
        self.revision += 1;
        self.objects.insert(shard, (self.revision, bytes));
        WriteResult::Stored {
            version: self.revision,
        }
    }
}

#[derive(Default)]
struct World {
    store: Store,
    roles: Vec<ClaimRole>,
    calls: Vec<Vec<ClaimAction>>,
    delayed: Vec<ClaimAction>,
    now: u64,
    attempts: HashMap<u64, (usize, ClaimKey, ClaimAttempt)>,
    /// Attempts that may run, by key.
    granted: HashMap<u128, HashSet<u64>>,
    next: u64,
}

impl World {
    fn new() -> Self {
        Self {
            roles: (0..HOSTS).map(|_| ClaimRole::new()).collect(),
            calls: vec![Vec::new(); HOSTS],
            ..Self::default()
        }
    }

    fn handle_actions(&mut self, host: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Answer { ticket, answer } => {
                    if answer == ClaimAnswer::Decided(ClaimVerdict::Granted) {
                        let digest = self.attempts[&ticket].1.digest;
                        self.granted.entry(digest).or_default().insert(ticket);
                    }
                }
                call => self.calls[host].push(call),
            }
        }
    }

    fn take_oldest_call(&mut self, host: usize) -> Option<ClaimAction> {
        (!self.calls[host].is_empty()).then(|| self.calls[host].remove(0))
    }

    fn complete_call(&mut self, host: usize, call: ClaimAction, delivered: bool, executed: bool) {
        let now = Moment(self.now);
        let actions = match call {
            ClaimAction::Read(shard) => {
                let result = if delivered && executed {
                    self.store.read(shard)
                } else {
                    ReadResult::Failed
                };
                self.roles[host].on_read(shard, &result, now, &WALL)
            }
            ClaimAction::Write {
                shard,
                bytes,
                expected,
            } => {
                let result = if executed {
                    self.store.write(shard, bytes, expected)
                } else {
                    WriteResult::Uncertain
                };
                let result = if delivered {
                    result
                } else {
                    WriteResult::Uncertain
                };
                self.roles[host].on_write(shard, result, now, &WALL)
            }
            ClaimAction::Answer { .. } => Vec::new(),
        };
        self.handle_actions(host, actions);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Claim(host, number) => self.claim(host, number),
            Event::Tick(host, millis) => {
                self.now += millis;
                let actions = self.roles[host].tick(Moment(self.now), &WALL);
                self.handle_actions(host, actions);
            }
            Event::Answer(host) => {
                if let Some(call) = self.take_oldest_call(host) {
                    self.complete_call(host, call, true, true);
                }
            }
            Event::LoseAnswer(host) => {
                if let Some(call) = self.take_oldest_call(host) {
                    self.complete_call(host, call, false, true);
                }
            }
            Event::LoseCall(host) => {
                if let Some(call) = self.take_oldest_call(host) {
                    self.complete_call(host, call, false, false);
                }
            }
            Event::Delay(host) => {
                if let Some(call) = self.take_oldest_call(host) {
                    self.delayed.push(call.clone());
                    self.complete_call(host, call, false, false);
                }
            }
            Event::Arrive => {
                if !self.delayed.is_empty()
                    && let ClaimAction::Write {
                        shard,
                        bytes,
                        expected,
                    } = self.delayed.remove(0)
                {
                    self.store.write(shard, bytes, expected);
                }
            }
            Event::Release(host) => self.release(host),
        }
    }

    fn claim(&mut self, host: usize, number: u64) {
        self.next += 1;
        let key = ClaimKey::from_text("desk", &format!("1700000000000-key-number-{number}"))
            .expect("a key");
        let attempt = ClaimAttempt {
            host: format!("entry-{host}"),
            incarnation: 1,
            number: self.next,
        };
        self.attempts
            .insert(self.next, (host, key, attempt.clone()));
        let deadline = Moment(self.now + 1_000);
        let request = ClaimRequest {
            ticket: self.next,
            key,
            attempt,
            deadline,
        };
        let actions = self.roles[host].on_claim(request, Moment(self.now), &WALL);
        self.handle_actions(host, actions);
    }

    fn release(&mut self, host: usize) {
        let granted = self
            .granted
            .values()
            .flatten()
            .copied()
            .find(|ticket| self.attempts[ticket].0 == host);
        if let Some(ticket) = granted {
            let (_, key, attempt) = self.attempts[&ticket].clone();
            self.granted
                .get_mut(&key.digest)
                .expect("granted")
                .remove(&ticket);
            self.roles[host].on_release(key.digest, attempt, Moment(self.now));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_key_is_granted_to_one_attempt_at_most(events in proptest::collection::vec(event(), 1..150)) {
        let mut world = World::new();
        for event in events {
            world.step(event);
            for (key, tickets) in &world.granted {
                prop_assert!(tickets.len() <= 1, "{key:x} was granted to {tickets:?}");
            }
        }
    }

    #[test]
    fn shards_survive_their_object(tokens in proptest::collection::hash_set("[a-z]{8,20}", 0..40)) {
        let mut shard = ClaimShard::default();
        for (number, token) in tokens.iter().enumerate() {
            let key = ClaimKey::from_text("desk", &format!("1700000000000-{token}")).expect("a key");
            let attempt = ClaimAttempt { host: "entry-1".to_owned(), incarnation: 1, number: number as u64 };
            shard.claim(&key, &attempt);
            if number % 2 == 0 {
                shard.settle(key.digest, &attempt, 200);
            }
        }
        let again = ClaimShard::from_bytes(&shard.to_bytes().expect("an object")).expect("a shard");
        prop_assert_eq!(shard, again);
    }
}

#[test]
fn a_pruned_key_is_never_granted() {
    let mut shard = ClaimShard::default();
    let key = ClaimKey::from_text("desk", "1000-old-old-key").expect("a key");
    let attempt = ClaimAttempt {
        host: "entry-1".to_owned(),
        incarnation: 1,
        number: 1,
    };
    assert_eq!(shard.claim(&key, &attempt), ClaimVerdict::Granted);
    shard.prune(WALL.now_unix_ms, WALL.window_ms);
    assert_eq!(shard.verdict(&key, &attempt), ClaimVerdict::Pending);
}
