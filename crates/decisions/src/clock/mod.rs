//! Monotonic time as the decisions see it.

mod moment;

pub use moment::Moment;
