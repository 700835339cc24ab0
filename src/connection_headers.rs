//! Removes the headers that concern a single connection and must not be forwarded.

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1).
pub(crate) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    const ONE_CONNECTION: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = headers.clone();
    for name in ONE_CONNECTION {
        kept.remove(name);
    }
    for name in named {
        kept.remove(name);
    }
    kept
}

/// The headers that are forwarded to a server with a body of known length. Removed are the
/// hop-by-hop headers, those that the client library writes itself and those meant for this proxy.
pub(crate) fn to_server(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(http::header::CONTENT_LENGTH);
    kept.remove(http::header::PROXY_AUTHORIZATION);
    kept
}
