//! Headers that concern one connection and are not passed on.

/// Headers of one connection only (RFC 9110, section 7.6.1) stay behind.
pub(super) fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
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
