use snafu::Snafu;

/// What went wrong on a connection to a database.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum UpstreamError {
    /// No connection could be opened.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: std::io::Error,
    },
    /// The database closed the connection.
    #[snafu(display("the database closed the connection"))]
    Closed,
    /// The database refused the connection.
    #[snafu(display("the database refused: {text}"))]
    Refused {
        /// What it said.
        text: String,
    },
    /// The database took too long.
    #[snafu(display("the database did not answer in time"))]
    Late,
    /// The answer breaks the protocol.
    #[snafu(display("the answer breaks the protocol: {text}"))]
    Confused {
        /// What was found.
        text: String,
    },
    /// The answer is larger than the proxy holds back.
    #[snafu(display("the answer has more than {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
}
