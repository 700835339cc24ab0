//! Tests of the boundaries between the requests of a connection: a wrong one hides a request that was
//! read, or waits for one that never comes.

use ledgespool::request_boundary::RequestBoundary;
use proptest::prelude::*;

/// A request with a body of this length, or without one.
fn request(body: Option<usize>, newline: &str) -> Vec<u8> {
    let length = body.map_or_else(String::new, |length| {
        format!("Content-Length: {length}{newline}")
    });
    let body = "\n".repeat(body.unwrap_or(0));
    format!("POST /one HTTP/1.1{newline}Host: desk{newline}{length}{newline}{body}").into_bytes()
}

proptest! {
    /// Requests are told apart however they are divided into reads.
    #[test]
    fn requests_are_told_apart(
        bodies in prop::collection::vec(prop::option::of(0_usize..40), 1..6),
        reads in prop::collection::vec(1_usize..60, 1..40),
        line_feeds_only in any::<bool>(),
        empty_lines in 0_usize..3,
    ) {
        let newline = if line_feeds_only { "\n" } else { "\r\n" };
        let mut bytes = Vec::new();
        for body in &bodies {
            bytes.extend(newline.repeat(empty_lines).into_bytes());
            bytes.extend(request(*body, newline));
        }
        let boundary = RequestBoundary::default();
        let mut reads = reads.iter().cycle();
        let mut left = &*bytes;
        let mut begun = 0;
        while !left.is_empty() {
            let read = &left[..left.len().min(*reads.next().expect("it cycles"))];
            let taken = boundary.take_part(read);
            prop_assert!(taken > 0);
            left = &left[taken..];
            if boundary.has_next() {
                let body = bodies[begun].unwrap_or(0) as u64;
                boundary.on_request(Some(body));
                begun += 1;
                prop_assert!(!boundary.has_next());
            }
        }
        prop_assert_eq!(begun, bodies.len());
    }
}

#[test]
fn after_a_body_without_a_length_nothing_is_held_back() {
    let boundary = RequestBoundary::default();
    let head = b"POST / HTTP/1.1\r\n\r\n";
    assert_eq!(boundary.take_part(head), head.len());
    boundary.on_request(None);
    let rest = b"5\r\nabc\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    assert_eq!(boundary.take_part(rest), rest.len());
    assert!(!boundary.has_next());
}
