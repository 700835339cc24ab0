//! Property test of the complete controller with hostile input: extreme numbers, objects that this
//! program did not write, and messages in any order. It must never panic, must refuse invalid
//! input, and must return a bounded number of actions.

use std::net::SocketAddr;

use ledgespool::claim::ClaimAttempt;
use ledgespool::config_object::{ConfigChange, ConfigObject};
use ledgespool::config_role::ChangeRequest;
use ledgespool::control_message::{
    CallPurpose, ControlInput, LeavingServer, PeerClaim, PeerHeartbeat, PeerSettle,
};
use ledgespool::controller::{ControlSettings, HostController};
use ledgespool::member::{HostIdentity, HostState, MemberRecord};
use ledgespool::platform_call::{
    PlatformReply, ReadResult, WatchReply, WatchedObject, WriteResult,
};
use ledgespool::report::{HostReport, PlaceUsage};
use ledgespool::result_code::ResultCode;
use ledgespool::timer::Moment;
use ledgespool::{budget, declaration};
use proptest::prelude::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        2_u64..1_000,
        Just(u64::from(u32::MAX)),
        Just(u64::MAX)
    ]
}

fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn record(name: u8, incarnation: u64, refutation: u64, state: u8) -> MemberRecord {
    let states = [
        HostState::Live,
        HostState::Leaving,
        HostState::Suspect,
        HostState::Dead,
    ];
    MemberRecord {
        identity: HostIdentity {
            name: format!("entry-{}", name % 4),
            incarnation,
        },
        refutation: small(refutation),
        state: states[usize::from(state % 4)],
        caller_address: address(2),
        control_address: address(u16::from(name) + 10),
        hall: "perth-1".to_owned(),
    }
}

fn declared() -> declaration::SteeringDeclaration {
    declaration::from_dir(std::path::Path::new("examples/firm")).expect("the example")
}

fn plan_text(sequence: u64, units: u64) -> serde_json::Value {
    let units = small(units);
    serde_json::json!({
        "sequence": sequence, "holder": { "name": "entry-1", "incarnation": 1 }, "generation": 1, "hosts": [],
        "budgets": [{ "key": { "hall": { "service": "pipeline-desk", "hall": "perth-1" } }, "limit": units,
            "entries": [
                { "host": { "name": "entry-1", "incarnation": 1 }, "grant": units, "held": units, "lowered_at": 0 },
                { "host": { "name": "entry-2", "incarnation": 1 }, "grant": units, "held": units, "lowered_at": 0 }
            ] }]
    })
}

fn heartbeat() -> impl Strategy<Value = ControlInput> {
    (
        any::<u8>(),
        number(),
        number(),
        any::<u8>(),
        number(),
        number(),
    )
        .prop_map(
            |(name, incarnation, refutation, state, generation, sequence)| {
                let from = record(name, incarnation, refutation, state);
                let heartbeat = PeerHeartbeat {
                    rumors: vec![
                        record(name.wrapping_add(1), incarnation, refutation, state),
                        record(0, 1, refutation, state),
                    ],
                    full: state % 2 == 0,
                    generation,
                    plan_sequence: sequence,
                    plan_holder: Some(from.identity.clone()),
                    leaving_servers: vec![LeavingServer {
                        name: "s".repeat(usize::from(name)),
                        age_ms: generation,
                    }],
                    from,
                };
                ControlInput::Heartbeat(1, heartbeat)
            },
        )
}

fn report() -> impl Strategy<Value = ControlInput> {
    (any::<u8>(), number(), number(), number()).prop_map(|(name, incarnation, units, installed)| {
        let usage = PlaceUsage {
            key: budget::PlaceKey::with_hall("pipeline-desk", "perth-1"),
            in_use: small(units),
            load_milli: small(units),
            completed: small(units),
            refused: small(units),
        };
        ControlInput::Report(
            2,
            HostReport {
                identity: HostIdentity {
                    name: format!("entry-{}", name % 4),
                    incarnation,
                },
                control_address: address(9),
                hall: "perth-1".to_owned(),
                leaving: name % 2 == 0,
                installed,
                usage: vec![usage.clone(), usage],
            },
        )
    })
}

fn claim() -> impl Strategy<Value = ControlInput> {
    ("[0-9a-z]{0,40}", number(), number()).prop_map(|(digest, made_at, time_left_ms)| {
        let attempt = ClaimAttempt {
            host: "h".to_owned(),
            incarnation: made_at,
            number: 1,
        };
        ControlInput::PeerClaim(
            3,
            PeerClaim {
                digest,
                made_at,
                attempt,
                time_left_ms,
            },
        )
    })
}

fn settle() -> impl Strategy<Value = ControlInput> {
    ("[0-9a-f]{0,32}", any::<Option<u16>>()).prop_map(|(digest, status)| {
        let attempt = ClaimAttempt {
            host: "h".to_owned(),
            incarnation: 1,
            number: 1,
        };
        ControlInput::PeerSettle(PeerSettle {
            digest,
            attempt,
            status,
        })
    })
}

fn platform() -> impl Strategy<Value = ControlInput> {
    let purpose = prop_oneof![
        Just(CallPurpose::Config),
        Just(CallPurpose::Plan),
        (0_u16..64).prop_map(CallPurpose::Claim)
    ];
    let bytes = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..60),
        (number(), number())
            .prop_map(|(sequence, units)| plan_text(sequence, units).to_string().into_bytes()),
        Just(b"[]".to_vec()),
        Just(
            ConfigObject::with_change(None, &ConfigChange::Replace(Box::new(declared())), "first")
                .and_then(|object| object.to_bytes())
                .expect("an object")
        ),
    ];
    let read = (purpose.clone(), bytes, number()).prop_map(|(purpose, bytes, version)| {
        ControlInput::Platform(
            purpose,
            PlatformReply::Read(ReadResult::Found { bytes, version }),
        )
    });
    let write = (purpose, 0_u8..3).prop_map(|(purpose, result)| {
        let results = [
            WriteResult::Stored { version: 9 },
            WriteResult::Conflict,
            WriteResult::Uncertain,
        ];
        ControlInput::Platform(purpose, PlatformReply::Write(results[usize::from(result)]))
    });
    prop_oneof![3 => read, 2 => write]
}

fn watch() -> impl Strategy<Value = ControlInput> {
    (number(), number()).prop_map(|(sequence, units)| {
        let object = WatchedObject {
            name: "plan".to_owned(),
            version: 3,
            value: plan_text(sequence, units),
        };
        let reply = WatchReply {
            revision: sequence,
            objects: vec![object],
        };
        ControlInput::Platform(CallPurpose::Watch, PlatformReply::Watch(Some(reply)))
    })
}

fn change() -> impl Strategy<Value = ControlInput> {
    any::<bool>().prop_map(|drain| {
        let entry = declaration::DrainEntry::with_name(declaration::DrainKind::Hall, "perth-1");
        let change = if drain {
            ConfigChange::Drain(entry)
        } else {
            ConfigChange::Replace(Box::new(declared()))
        };
        ControlInput::Change(ChangeRequest {
            ticket: 4,
            operation: "op".to_owned(),
            expected_generation: None,
            change,
        })
    })
}

fn input() -> impl Strategy<Value = ControlInput> {
    prop_oneof![
        6 => Just(ControlInput::Tick),
        2 => heartbeat(),
        2 => report(),
        1 => claim(),
        1 => settle(),
        5 => platform(),
        1 => watch(),
        1 => change(),
        1 => Just(ControlInput::Status(5)),
        1 => Just(ControlInput::Fetch(6)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn hostile_messages_never_panic(inputs in proptest::collection::vec((input(), 0_u64..1_500), 1..60)) {
        let settings = ControlSettings { me: record(0, 1, 0, 0), peers: vec![address(11)], workers: 1, seed: 1 };
        let mut now = Moment(0);
        let mut controller = HostController::new(&settings, now);
        for (input, elapsed) in inputs {
            now = now.plus(elapsed);
            let actions = controller.handle(input, now, 1_700_000_000_000);
            prop_assert!(actions.len() < 200, "{} actions for one input", actions.len());
        }
    }
}

#[test]
fn a_change_with_numbers_out_of_range_is_refused() {
    let mut declaration = declared();
    declaration.servers[0].slots = u32::MAX;
    declaration.halls[0].capacity = u32::MAX;
    let change = ConfigChange::Replace(Box::new(declaration));
    let fault = ConfigObject::with_change(None, &change, "large").expect_err("a refusal");
    assert_eq!(fault.code(), ResultCode::ValueOutOfRange);
}
