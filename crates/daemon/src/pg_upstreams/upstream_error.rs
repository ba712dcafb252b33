use snafu::Snafu;

/// Errors on a connection to a database or to another host.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum UpstreamError {
    /// No connection could be opened.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Error of the connection attempt.
        source: std::io::Error,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Error of the read or write.
        source: std::io::Error,
    },
    /// The database closed the connection.
    #[snafu(display("the database closed the connection"))]
    Closed,
    /// The database refused the connection or did not open a transaction.
    #[snafu(display("refused by the database: {text}"))]
    Refused {
        /// Fields of its error message, or what it refused.
        text: String,
    },
    /// The database did not answer in time.
    #[snafu(display("the database did not answer in time"))]
    TimedOut,
    /// The answer violates the protocol, or a message cannot be encoded.
    #[snafu(display("protocol error: {text}"))]
    Protocol {
        /// Description of the violation.
        text: String,
    },
    /// The answer exceeds the size that the proxy buffers.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// Largest size buffered, in bytes.
        limit: usize,
    },
}
