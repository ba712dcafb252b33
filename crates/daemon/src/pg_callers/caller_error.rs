use hawthornstack_decisions::outcomes::ResultCode;
use snafu::Snafu;

/// Errors that end a caller's connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallerError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Error of the read or write.
        source: std::io::Error,
    },
    /// The caller closed the connection.
    #[snafu(display("the caller closed the connection"))]
    Closed,
    /// The caller did not finish its start-up in time.
    #[snafu(display("the caller did not finish its start-up in time"))]
    StartupTimedOut,
    /// A message exceeds the size limit.
    #[snafu(display("a message of {bytes} bytes is larger than the {limit} accepted"))]
    TooLarge {
        /// Length that the message states, in bytes.
        bytes: usize,
        /// Largest length accepted, in bytes.
        limit: usize,
    },
    /// A message violates the protocol.
    #[snafu(display("{text}"))]
    Protocol {
        /// Description of the violation.
        text: String,
    },
    /// The connection is refused at start-up or closed by this host.
    #[snafu(display("{text}"))]
    Refused {
        /// Result code sent to the caller.
        code: ResultCode,
        /// Reason sent to the caller.
        text: String,
    },
}

impl CallerError {
    /// Result code to send to the caller; `None` if it cannot receive one.
    pub fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::Broken { .. } | Self::Closed | Self::StartupTimedOut => None,
            Self::TooLarge { .. } | Self::Protocol { .. } => Some(ResultCode::ProtocolViolation),
            Self::Refused { code, .. } => Some(*code),
        }
    }
}
