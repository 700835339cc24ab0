//! Which requests have the same fingerprint.

use ledgespool::entry::fingerprint::{RequestContent, RequestFingerprint};

const CONTENT: RequestContent<'static> = RequestContent {
    customer: "mill",
    method: "POST",
    site: b"desk.example",
    path: "/write/one?a=b",
    body: &[b"line"],
};

#[test]
fn equal_requests_share_a_fingerprint_and_different_ones_do_not() {
    let original = RequestFingerprint::of(&CONTENT);
    assert_eq!(original, RequestFingerprint::of(&CONTENT));
    let upper = RequestContent {
        site: b"Desk.Example",
        ..CONTENT
    };
    assert_eq!(original, RequestFingerprint::of(&upper));
    let in_parts = RequestContent {
        body: &[b"li", b"", b"ne"],
        ..CONTENT
    };
    assert_eq!(original, RequestFingerprint::of(&in_parts));
    let others = [
        RequestContent {
            customer: "",
            ..CONTENT
        },
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
            body: &[b"lines"],
            ..CONTENT
        },
        // The same bytes, split differently between path and body.
        RequestContent {
            path: "/write/one?a=bl",
            body: &[b"ine"],
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(original, RequestFingerprint::of(&other), "{other:?}");
    }
}
