//! Monotonic time, which callers pass in: nothing in this crate reads a clock.

mod moment;

pub use moment::Moment;
