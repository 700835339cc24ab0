//! Tests of the membership role: suspicion, refutation and recovery from network partitions. The
//! test delivers the heartbeats itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ledgespool::member::{HostIdentity, HostState, MemberRecord};
use ledgespool::membership::{HEARTBEAT_INTERVAL_MS, MAX_RUMORS, MembershipRole};
use ledgespool::timer::Moment;
use proptest::prelude::*;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + u16::try_from(number).expect("few")))
}

fn role(number: usize) -> MembershipRole {
    let me = MemberRecord {
        identity: HostIdentity {
            name: format!("entry-{number:02}"),
            incarnation: 1,
        },
        refutation: 0,
        state: HostState::Live,
        caller_address: address(number + 1_000),
        control_address: address(number),
        hall: "hall".to_owned(),
    };
    let seeds = if number == 0 {
        Vec::new()
    } else {
        vec![address(0)]
    };
    MembershipRole::new(me, seeds, number as u64, Moment(0))
}

struct Hosts {
    roles: Vec<MembershipRole>,
    now: u64,
    max_records: usize,
}

impl Hosts {
    fn new(count: usize) -> Self {
        Self {
            roles: (0..count).map(role).collect(),
            now: 0,
            max_records: 0,
        }
    }

    /// Runs one round of heartbeats. `can_communicate` decides which pairs of hosts can communicate.
    fn round(&mut self, can_communicate: impl Fn(usize, usize) -> bool) {
        self.now += HEARTBEAT_INTERVAL_MS;
        let now = Moment(self.now);
        for from in 0..self.roles.len() {
            for target in self.roles[from].tick(now) {
                let to = usize::from(target.address.port() - 20_000);
                if !can_communicate(from, to) {
                    if let Some(name) = &target.name {
                        self.roles[from].on_missed(name, now);
                    }
                    continue;
                }
                let rumors = self.roles[from].rumors_for(target.name.as_deref(), target.full);
                let me = self.roles[from].me().clone();
                self.roles[to].on_contact(&me, &rumors, now);
                let name = me.identity.name.clone();
                let answer = self.roles[to].rumors_for(Some(&name), target.full);
                if !target.full {
                    self.max_records = self.max_records.max(rumors.len()).max(answer.len());
                }
                let peer = self.roles[to].me().clone();
                self.roles[from].on_contact(&peer, &answer, now);
            }
        }
    }

    fn states(&self, of: usize) -> BTreeMap<String, HostState> {
        let records = self.roles[of].records();
        records
            .into_iter()
            .map(|record| (record.identity.name, record.state))
            .collect()
    }

    fn all_see_all_live(&self) -> bool {
        (0..self.roles.len()).all(|of| {
            let states = self.states(of);
            states.len() == self.roles.len()
                && states.values().all(|state| *state == HostState::Live)
        })
    }
}

#[test]
fn hosts_discover_each_other_through_one_seed_with_bounded_messages() {
    let mut hosts = Hosts::new(40);
    for _ in 0..60 {
        hosts.round(|_, _| true);
    }
    assert!(hosts.all_see_all_live());
    assert!(
        hosts.max_records <= MAX_RUMORS,
        "{} records on one message",
        hosts.max_records
    );
}

#[test]
fn a_silent_host_is_suspected_then_dead_and_refutes_when_it_recovers() {
    let mut hosts = Hosts::new(5);
    for _ in 0..10 {
        hosts.round(|_, _| true);
    }
    let mut rounds = 0;
    while hosts.states(0)["entry-03"] != HostState::Dead {
        hosts.round(|from, to| from != 3 && to != 3);
        rounds += 1;
        assert!(rounds < 20, "a silent host is declared dead");
    }
    println!("dead after {} ms", rounds * HEARTBEAT_INTERVAL_MS);
    for _ in 0..30 {
        hosts.round(|_, _| true);
    }
    assert!(hosts.all_see_all_live(), "the host refutes its death");
}

#[test]
fn regions_partitioned_for_minutes_rediscover_each_other() {
    let mut hosts = Hosts::new(9);
    for _ in 0..20 {
        hosts.round(|_, _| true);
    }
    let minutes = 3 * 60_000 / HEARTBEAT_INTERVAL_MS;
    for _ in 0..minutes {
        hosts.round(|from, to| (from < 5) == (to < 5));
    }
    let states = hosts.states(0);
    assert!((0..5).all(|host| states[&format!("entry-{host:02}")] == HostState::Live));
    assert!((5..9).all(|host| states[&format!("entry-{host:02}")] == HostState::Dead));
    for _ in 0..60 {
        hosts.round(|_, _| true);
    }
    assert!(hosts.all_see_all_live(), "{:?}", hosts.states(0));
}

#[test]
fn a_leaving_host_is_seen_as_leaving_by_all() {
    let mut hosts = Hosts::new(5);
    for _ in 0..10 {
        hosts.round(|_, _| true);
    }
    hosts.roles[2].set_leaving(true);
    for _ in 0..6 {
        hosts.round(|_, _| true);
    }
    assert!((0..5).all(|of| hosts.states(of)["entry-02"] == HostState::Leaving));
    hosts.roles[2].set_leaving(false);
    for _ in 0..6 {
        hosts.round(|_, _| true);
    }
    assert!(
        hosts.all_see_all_live(),
        "the host is live again after its drain ends"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any loss of messages, all hosts see each other as live once messages arrive again.
    #[test]
    fn membership_converges_after_any_message_losses(losses in proptest::collection::vec(any::<u64>(), 1..40)) {
        let mut hosts = Hosts::new(7);
        for _ in 0..15 {
            hosts.round(|_, _| true);
        }
        for mask in losses {
            hosts.round(|from, to| mask >> ((from * 7 + to) % 64) & 1 == 0);
        }
        for _ in 0..80 {
            hosts.round(|_, _| true);
        }
        prop_assert!(hosts.all_see_all_live());
    }
}
