//! Which requests count as the same.

use std::net::{IpAddr, Ipv4Addr};

use ledgespool::entry::fingerprint::{RequestContent, RequestFingerprint, RequestSender};

const SENDER: RequestSender<'static> =
    RequestSender::Address(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 7)));
const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    site: b"desk.example",
    path: "/write/one?a=b",
    body: b"line",
};

#[test]
fn the_same_request_has_the_same_fingerprint_and_any_other_another() {
    let whole = RequestFingerprint::of(SENDER, &CONTENT);
    assert_eq!(whole, RequestFingerprint::of(SENDER, &CONTENT));
    let upper = RequestContent {
        site: b"Desk.Example",
        ..CONTENT
    };
    assert_eq!(whole, RequestFingerprint::of(SENDER, &upper));
    let others = [
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            site: b"desk2.example",
            ..CONTENT
        },
        RequestContent {
            path: "/write/one?a=c",
            ..CONTENT
        },
        RequestContent {
            body: b"lines",
            ..CONTENT
        },
        // A part that ends where another begins.
        RequestContent {
            path: "/write/one?a=bl",
            body: b"ine",
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(whole, RequestFingerprint::of(SENDER, &other), "{other:?}");
    }
    let senders = [
        RequestSender::Address(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 8))),
        RequestSender::Customer("mill"),
    ];
    for sender in senders {
        assert_ne!(
            whole,
            RequestFingerprint::of(sender, &CONTENT),
            "{sender:?}"
        );
    }
}
