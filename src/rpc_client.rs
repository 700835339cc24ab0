//! A client for the control listener of an entry host, for operators and peers.

use std::{net, time};

use jsonrpsee::core::client::{ClientT as _, Error as ClientError};
use jsonrpsee::core::params::ObjectParams;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;

use crate::error::{self, Error};
use crate::plan;
use crate::result_code::ResultCode;
use crate::rpc;

/// The largest message in either direction, in bytes.
const MAX_MESSAGE_BYTES: u32 = 4 * plan::MAX_OBJECT_BYTES as u32;

/// A client of one entry host.
#[derive(Debug, Clone)]
pub struct ControlClient {
    address: net::SocketAddr,
    client: HttpClient,
}

/// A failed call, with the details that the host returned.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code} {detail}")]
pub struct CallFault {
    /// The numbered code.
    pub code: ResultCode,
    /// Details.
    pub detail: String,
    /// When to retry, in milliseconds, if a retry can help.
    pub retry_after_ms: Option<u64>,
}

impl From<CallFault> for Error {
    fn from(fault: CallFault) -> Self {
        Self::with_code(fault.code, fault.detail)
    }
}

impl ControlClient {
    /// Creates a client that presents `token`; no connection is opened yet.
    ///
    /// # Errors
    /// `ParameterInvalid` when the token is not a valid header value.
    pub fn new(
        address: net::SocketAddr,
        token: &str,
        timeout: time::Duration,
    ) -> error::Result<Self> {
        let invalid = |detail: String| Error::with_code(ResultCode::ParameterInvalid, detail);
        let mut headers = http::HeaderMap::new();
        let value = http::HeaderValue::from_str(&format!("Bearer {token}"));
        headers.insert(
            http::header::AUTHORIZATION,
            value.map_err(|fault| invalid(fault.to_string()))?,
        );
        let client = HttpClientBuilder::default()
            .set_headers(headers)
            .request_timeout(timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .map_err(|fault| invalid(fault.to_string()))?;
        Ok(Self { address, client })
    }

    /// Calls a method.
    ///
    /// # Errors
    /// [`CallFault`] with the host's code, or `HostUnreachable`.
    pub async fn call<P, R>(&self, method: &str, params: &P) -> Result<R, CallFault>
    where
        P: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let unreachable = |detail: String| CallFault {
            code: ResultCode::HostUnreachable,
            detail: format!("{}: {detail}", self.address),
            retry_after_ms: None,
        };
        let value = serde_json::to_value(params).map_err(|fault| unreachable(fault.to_string()))?;
        let serde_json::Value::Object(fields) = value else {
            return Err(unreachable("parameters must be an object".to_owned()));
        };
        let answer = if fields.is_empty() {
            self.client.request(method, rpc_params![]).await
        } else {
            let mut named = ObjectParams::new();
            for (name, value) in fields {
                named
                    .insert(&name, value)
                    .map_err(|fault| unreachable(fault.to_string()))?;
            }
            self.client.request(method, named).await
        };
        answer.map_err(|fault| match fault {
            ClientError::Call(object) => fault_from_object(&object),
            ClientError::Transport(fault) if fault.to_string().contains("401") => CallFault {
                code: ResultCode::TokenRejected,
                detail: String::new(),
                retry_after_ms: None,
            },
            other => unreachable(other.to_string()),
        })
    }
}

fn fault_from_object(object: &jsonrpsee::types::ErrorObjectOwned) -> CallFault {
    let data = object
        .data()
        .and_then(|raw| serde_json::from_str::<rpc::ErrorData>(raw.get()).ok());
    let number = u16::try_from(object.code()).unwrap_or_default();
    CallFault {
        code: ResultCode::from_number(number).unwrap_or(ResultCode::ParameterInvalid),
        detail: object.message().to_owned(),
        retry_after_ms: data.and_then(|data| data.retry_after_ms),
    }
}
