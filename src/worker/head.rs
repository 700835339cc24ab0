//! Parses the path and headers of a forwarded request.

use super::answer::REQUEST_HEADER;
use crate::result_code::ResultCode;

pub(super) const CLASS_HEADER: &str = "x-ledgespool-class";
pub(super) const DEADLINE_HEADER: &str = "x-ledgespool-deadline-ms";
pub(super) const CLAIM_HEADER: &str = "x-ledgespool-claim-key";
/// The path prefix of forwarded requests.
const CALL_PREFIX: &str = "/call/";
const MAX_ID_LENGTH: usize = 64;
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The parsed path and headers of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestHead {
    pub(super) service: String,
    /// Path and query that are sent to the server.
    pub(super) target: String,
    pub(super) class: String,
    pub(super) time_left_ms: Option<u64>,
    pub(super) request_id: Option<String>,
    pub(super) claim_key: Option<String>,
}

impl RequestHead {
    /// Parses path and headers.
    pub(super) fn from_request(
        uri: &http::Uri,
        headers: &http::HeaderMap,
    ) -> Result<Self, ResultCode> {
        let rest = uri
            .path()
            .strip_prefix(CALL_PREFIX)
            .ok_or(ResultCode::RouteUnknown)?;
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let target = match uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let request_id = text(headers, REQUEST_HEADER)?;
        if request_id.as_deref().is_some_and(|id| !is_valid_id(id)) {
            return Err(ResultCode::RequestMalformed);
        }
        Ok(Self {
            service: service.to_owned(),
            target,
            class: text(headers, CLASS_HEADER)?.ok_or(ResultCode::RequestMalformed)?,
            time_left_ms: deadline(headers)?,
            request_id,
            claim_key: text(headers, CLAIM_HEADER)?,
        })
    }
}

/// The value of a header; a header that occurs twice is malformed.
fn text(headers: &http::HeaderMap, name: &str) -> Result<Option<String>, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(ResultCode::RequestMalformed);
    }
    value
        .to_str()
        .map(|text| Some(text.to_owned()))
        .map_err(|_fault| ResultCode::RequestMalformed)
}

fn deadline(headers: &http::HeaderMap) -> Result<Option<u64>, ResultCode> {
    let Some(text) = text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let millis = text
        .parse::<u64>()
        .ok()
        .filter(|&millis| millis <= MAX_DEADLINE_MS);
    millis.map(Some).ok_or(ResultCode::RequestMalformed)
}

fn is_valid_id(id: &str) -> bool {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_ID_LENGTH).contains(&id.len()) && id.bytes().all(valid)
}
