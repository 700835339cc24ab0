//! The library's error type and its `Result` alias.

use std::io;

use crate::result_code;
use crate::source;

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every error of the library, each with a numbered code.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// One fault with its code.
    #[error("{code} {detail}")]
    Coded {
        /// The numbered code.
        code: result_code::ResultCode,
        /// What exactly is wrong.
        detail: String,
    },
    /// All faults found in settings or declaration files.
    #[error(transparent)]
    Rejected(Box<source::RejectedInput>),
    /// A socket or file operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl Error {
    /// Builds a coded error.
    ///
    /// ```
    /// use ledgespool::{error, result_code};
    /// let error = error::Error::with_code(result_code::ResultCode::TypeWrong, "slots");
    /// assert_eq!(error.to_string(), "LS1004 slots");
    /// ```
    #[must_use]
    pub fn with_code(code: result_code::ResultCode, detail: impl Into<String>) -> Self {
        Self::Coded {
            code,
            detail: detail.into(),
        }
    }

    /// The numbered code of this error.
    #[must_use]
    pub fn code(&self) -> result_code::ResultCode {
        match self {
            Self::Coded { code, .. } => *code,
            Self::Rejected(input) => input.first_code(),
            Self::Io(_) => result_code::ResultCode::FileUnreadable,
        }
    }
}
