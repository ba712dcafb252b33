use hawthornstack_decisions::outcomes::ResultCode;
use snafu::Snafu;

/// What ends a caller's connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallerError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: std::io::Error,
    },
    /// The caller closed the connection.
    #[snafu(display("the caller is gone"))]
    Gone,
    /// The caller took too long to start.
    #[snafu(display("the caller did not finish its start-up in time"))]
    StartupLate,
    /// A message is larger than accepted.
    #[snafu(display("a message of {bytes} bytes is larger than the {limit} accepted"))]
    TooLarge {
        /// Length found.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// A message breaks the protocol.
    #[snafu(display("{text}"))]
    Protocol {
        /// What was found.
        text: String,
    },
    /// The caller was refused at its start.
    #[snafu(display("{text}"))]
    Refused {
        /// The result.
        code: ResultCode,
        /// What is wrong.
        text: String,
    },
}

impl CallerError {
    /// The result code that the caller is told, if it can still be told.
    pub fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::Broken { .. } | Self::Gone | Self::StartupLate => None,
            Self::TooLarge { .. } | Self::Protocol { .. } => Some(ResultCode::ProtocolViolation),
            Self::Refused { code, .. } => Some(*code),
        }
    }
}
