//! Removes the headers that concern a single connection and must not be forwarded.

use crate::body_framing;

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1).
pub(crate) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    const HOP_BY_HOP_HEADERS: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let connection_options: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    for name in connection_options {
        forwarded.remove(name);
    }
    forwarded
}

/// The headers of an answer that are forwarded to a caller. The length of the body is left to the
/// server library, which takes it from the body. Only an answer to HEAD has none to take it from.
pub(crate) fn to_caller(headers: &http::HeaderMap, method: &http::Method) -> http::HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(http::header::CONTENT_LENGTH);
    if *method == http::Method::HEAD
        && let Ok(Some(length)) = body_framing::stated_length(headers)
    {
        forwarded.insert(http::header::CONTENT_LENGTH, length.into());
    }
    forwarded
}

/// The headers that are forwarded to a server with a body of known length. Removed are the
/// hop-by-hop headers, those that the client library writes itself and those meant for this proxy.
pub(crate) fn to_server(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove(http::header::CONTENT_LENGTH);
    forwarded.remove(http::header::PROXY_AUTHORIZATION);
    forwarded
}
