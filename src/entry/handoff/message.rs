//! The messages of a handoff: a request with its body, and the failure to serve it.

use bytes::Bytes;

use crate::entry::metrics_page::RequestCompletion;
use crate::entry::peer_message::{self, PeerFormatError};
use crate::request_body::RequestBody;

/// States in a response whether it is a server's answer or a [`HandoffFailure`].
pub const HANDOFF_HEADER: &str = "x-ledgespool-handoff";
/// The response is a server's answer.
pub const ANSWER: &str = "answer";
/// The response is a [`HandoffFailure`].
pub const FAILURE: &str = "failure";

/// The length that a server stated in an answer to HEAD, in bytes. The response between the hosts has
/// a length of its own.
pub const HEAD_LENGTH_HEADER: &str = "x-ledgespool-head-length";

/// Length of the number that precedes an encoded head, in bytes.
const LENGTH_BYTES: usize = 4;

/// A caller's request without its body.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HandoffHead {
    /// The name of the host that hands the request over.
    pub host: String,
    /// The run of that host's process.
    pub run: u64,
    /// The caller's request id.
    pub id: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// The headers for the server, which contain no key.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The name of the identified customer, whose limit has been applied.
    pub customer: Option<String>,
    /// The service selected for the request.
    pub service: String,
    /// The version of the configuration by which it was selected.
    pub version: u64,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub time_left_ms: u64,
    /// How often the request was sent to servers.
    pub sends: u32,
    /// Whether the request was counted for the retry budget.
    pub is_counted: bool,
    /// Whether the request is the probe of a blocked one.
    pub is_probe: bool,
}

/// A request that was taken over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoffRequest {
    /// Everything but the body.
    pub head: HandoffHead,
    /// The whole body.
    pub body: RequestBody,
}

impl HandoffRequest {
    /// Encodes the request. The message shares the memory of the body.
    ///
    /// # Errors
    /// `Malformed` when the head cannot be written.
    ///
    /// ```
    /// use ledgespool::entry::handoff::message::{HandoffHead, HandoffRequest};
    /// let head = HandoffHead {
    ///     host: "entry-1".to_owned(),
    ///     run: 7,
    ///     id: Some("c-1".to_owned()),
    ///     method: "POST".to_owned(),
    ///     uri: "/write/one".to_owned(),
    ///     headers: vec![("host".to_owned(), b"desk.example".to_vec())],
    ///     customer: None,
    ///     service: "desk".to_owned(),
    ///     version: 2,
    ///     age_ms: 3,
    ///     time_left_ms: 900,
    ///     sends: 0,
    ///     is_counted: false,
    ///     is_probe: false,
    /// };
    /// let request = HandoffRequest { head, body: "body".into() };
    /// let message = request.to_message()?;
    /// assert_eq!(HandoffRequest::from_message(&message)?, request);
    /// assert!(HandoffRequest::from_message(&"body".into()).is_err());
    /// # Ok::<(), ledgespool::entry::peer_message::PeerFormatError>(())
    /// ```
    pub fn to_message(&self) -> Result<RequestBody, PeerFormatError> {
        let head = peer_message::to_bytes(&self.head)?;
        let length = u32::try_from(head.len()).map_err(|_too_long| PeerFormatError::OtherFormat)?;
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + head.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&head);
        Ok(self.body.after(Bytes::from(bytes)))
    }

    /// Decodes a request. The body shares the memory of the message.
    ///
    /// # Errors
    /// `OtherFormat` or `Malformed`.
    pub fn from_message(message: &RequestBody) -> Result<Self, PeerFormatError> {
        let (length, rest) = message
            .split_at(LENGTH_BYTES)
            .ok_or(PeerFormatError::OtherFormat)?;
        let length = length
            .try_into()
            .map_err(|_other_length| PeerFormatError::OtherFormat)?;
        let length = usize::try_from(u32::from_le_bytes(length))
            .map_err(|_too_long| PeerFormatError::OtherFormat)?;
        let (head, body) = rest.split_at(length).ok_or(PeerFormatError::OtherFormat)?;
        Ok(Self {
            head: peer_message::from_bytes(&head)?,
            body,
        })
    }
}

/// Why a request that was handed over is not answered by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HandoffFailure {
    /// The HTTP status for the caller.
    pub status: u16,
    /// The outcome of the request.
    pub completion: RequestCompletion,
    /// After how many milliseconds the caller should retry, if a retry helps.
    pub retry_after_ms: Option<u64>,
}

impl HandoffFailure {
    /// Whether the request has not run and another host may serve it, since the cause is that host
    /// itself.
    #[must_use]
    pub const fn is_of_host(&self) -> bool {
        matches!(
            self.completion,
            RequestCompletion::RefusedUnreachable
                | RequestCompletion::RefusedUnconfigured
                | RequestCompletion::RefusedUnlisted
                | RequestCompletion::RefusedLeaving
                | RequestCompletion::RefusedMemory
                | RequestCompletion::Rejected
        )
    }
}
