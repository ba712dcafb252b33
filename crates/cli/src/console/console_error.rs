use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConsoleError {
    /// No daemon gave an answer that could be decoded.
    #[snafu(display("No daemon answers at {hosts}; give --hosts or set HAWTHORNSTACK_HOSTS."))]
    Unreachable {
        /// Operator addresses that were tried.
        hosts: String,
    },
    /// A daemon refused the request, or the audit trail is damaged.
    #[snafu(display("Refused (result {code}): {text}\n{remedy}"))]
    Refused {
        /// Number of the result code.
        code: u16,
        /// Why it was refused.
        text: String,
        /// How to fix it, or what changed since the refused plan was made.
        remedy: String,
    },
    /// A file or an argument cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    File {
        /// The file, or the text of the argument.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// There is no such result code.
    #[snafu(display("There is no result code {code}; see docs/RESULT_CODES.md."))]
    UnknownCode {
        /// Number that was asked for.
        code: u16,
    },
}

impl ConsoleError {
    /// Exit code of the process: 1 if refused, 2 for invalid input, 3 if no daemon
    /// answers.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::File { .. } | Self::UnknownCode { .. } => 2,
            Self::Unreachable { .. } => 3,
        }
    }
}
