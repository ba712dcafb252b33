//! Outcomes of requests, and the numbered result codes.

mod outcome;
mod result_code;

pub use outcome::Outcome;
pub use result_code::ResultCode;
