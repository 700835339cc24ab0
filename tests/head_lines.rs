//! The line ends of answers' heads. One that is missed ends a head early; one that is found where there
//! is none breaks a connection with a sound answer.

use ledgespool::head_lines::{BareLineFeed, HeadLines};

const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 9\r\n\r\n";
const BODY: &str = "a\n\nb\r\n\r\n\n";

/// Checks an answer that arrives in two parts.
fn check(answer: &[u8], first: usize) -> Result<(), BareLineFeed> {
    let mut lines = HeadLines::default();
    lines.begin();
    let (first, rest) = answer.split_at(first);
    lines.check(first)?;
    lines.check(rest)
}

#[test]
fn a_sound_answer_is_accepted_however_its_parts_arrive() {
    for before in [
        "",
        "\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
    ] {
        let answer = format!("{before}{HEAD}{BODY}");
        for first in 0..=answer.len() {
            assert_eq!(
                check(answer.as_bytes(), first),
                Ok(()),
                "{answer:?} {first}"
            );
        }
    }
}

#[test]
fn a_byte_that_became_a_line_feed_is_found() {
    for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let answer = format!("{interim}{HEAD}{BODY}").into_bytes();
        let head_bytes = interim.len() + HEAD.len();
        for changed in (0..head_bytes).filter(|at| answer[*at] != b'\n') {
            let mut answer = answer.clone();
            answer[changed] = b'\n';
            for first in [0, changed, changed + 1] {
                assert_eq!(check(&answer, first), Err(BareLineFeed), "{changed}");
            }
        }
    }
}

#[test]
fn a_carriage_return_that_is_missing_is_found() {
    let returns = HEAD.match_indices('\r').map(|(at, _)| at);
    for missing in returns {
        let mut answer = format!("{HEAD}{BODY}").into_bytes();
        answer.remove(missing);
        assert_eq!(check(&answer, 0), Err(BareLineFeed), "{missing}");
    }
}

#[test]
fn bytes_without_a_head_are_not_checked() {
    let mut lines = HeadLines::default();
    assert_eq!(lines.check(BODY.as_bytes()), Ok(()), "no answer is due");
    for _ in 0..2 {
        lines.begin();
        assert_eq!(lines.check(HEAD.as_bytes()), Ok(()));
        assert_eq!(lines.check(BODY.as_bytes()), Ok(()), "the body");
    }
}
