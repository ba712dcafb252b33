use std::path::PathBuf;

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConsoleError {
    /// No daemon could be reached.
    #[snafu(display("No daemon answers at {hosts}; give --hosts or set HAWTHORNSTACK_HOSTS."))]
    Unreachable {
        /// Addresses that were tried.
        hosts: String,
    },
    /// The system refused the request.
    #[snafu(display("Refused (result {code}): {text}\n{mend}"))]
    Refused {
        /// Number of the result code.
        code: u16,
        /// What is wrong.
        text: String,
        /// How to mend it.
        mend: String,
    },
    /// A file cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// There is no such result code.
    #[snafu(display("There is no result code {code}; see docs/RESULT_CODES.md."))]
    UnknownCode {
        /// The number.
        code: u16,
    },
}

impl ConsoleError {
    /// Exit code of the process: 1 refused, 2 bad input, 3 unreachable.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::File { .. } | Self::UnknownCode { .. } => 2,
            Self::Unreachable { .. } => 3,
        }
    }
}
