//! Tests when a host concludes that it reaches no server of a service.
//!
//! A host that judged its servers one by one tried them all again and again while it was
//! partitioned from all of them, and noticed the end of the partition seconds late.

use std::rc::Rc;

use ledgespool::reachability::ReachabilityTable;
use ledgespool::timer::Moment;

fn desk() -> Rc<str> {
    Rc::from("desk")
}

#[test]
fn a_connection_that_opens_during_a_check_shows_that_servers_are_reached() {
    let mut table = ReachabilityTable::default();
    assert!(table.begin_check(&desk(), Moment(1_000)));
    assert_eq!(table.on_connected(&desk(), Moment(1_100)), None);
    assert!(!table.end_check(&desk()));
    assert!(!table.is_unreachable("desk"));
}

#[test]
fn a_connection_from_before_the_check_does_not_count() {
    let mut table = ReachabilityTable::default();
    table.on_connected(&desk(), Moment(999));
    assert!(table.begin_check(&desk(), Moment(1_000)));
    assert!(table.end_check(&desk()));
    assert!(table.is_unreachable("desk"));
    assert!(!table.is_unreachable("vault"));
}

#[test]
fn a_check_is_not_repeated_at_once() {
    let mut table = ReachabilityTable::default();
    assert!(table.begin_check(&desk(), Moment(1_000)));
    assert!(!table.begin_check(&desk(), Moment(9_000)), "it still runs");
    table.on_connected(&desk(), Moment(1_001));
    assert!(!table.end_check(&desk()));
    assert!(!table.begin_check(&desk(), Moment(1_100)));
    assert!(table.begin_check(&desk(), Moment(1_300)));
}

/// Requests on connections that were open when the partition began wait for their timeouts, and
/// nothing else shows the partition if no new connection is needed.
#[test]
fn silence_while_requests_wait_starts_a_check() {
    let mut table = ReachabilityTable::default();
    table.on_sent(&desk(), Moment(1_000));
    table.on_sent(&desk(), Moment(1_300));
    assert!(table.silent_services(Moment(1_699)).is_empty());
    assert_eq!(table.silent_services(Moment(1_700)), [desk()]);
    table.on_answered(&desk(), Moment(1_000), Moment(1_701));
    table.on_wait_ended(&desk());
    assert!(table.silent_services(Moment(2_400)).is_empty());
    assert_eq!(table.silent_services(Moment(2_401)), [desk()]);
    table.on_wait_ended(&desk());
    assert!(
        table.silent_services(Moment(9_000)).is_empty(),
        "nothing waits"
    );
}

#[test]
fn open_connections_of_an_unreachable_service_are_alive_while_they_bring_answers() {
    let mut table = ReachabilityTable::default();
    table.begin_check(&desk(), Moment(1_000));
    assert!(table.end_check(&desk()));
    assert!(!table.are_open_connections_alive("desk", Moment(1_250)));
    // This request was sent before the partition.
    table.on_answered(&desk(), Moment(900), Moment(1_260));
    assert!(!table.are_open_connections_alive("desk", Moment(1_260)));
    table.on_answered(&desk(), Moment(1_100), Moment(1_300));
    assert!(table.are_open_connections_alive("desk", Moment(2_300)));
    assert!(!table.are_open_connections_alive("desk", Moment(2_301)));
}

#[test]
fn the_first_connection_ends_the_failure() {
    let mut table = ReachabilityTable::default();
    table.begin_check(&desk(), Moment(1_000));
    table.end_check(&desk());
    assert!(!table.begin_check(&desk(), Moment(5_000)), "it is known");
    assert_eq!(table.on_connected(&desk(), Moment(7_000)), Some(6_000));
    assert!(!table.is_unreachable("desk"));
    assert_eq!(table.unreachable_count(), 0);
}
