//! Measures how state, traffic, CPU time and memory grow with the size of a
//! system, as slopes of fitted lines.

mod daemon_slopes;
mod decision_slopes;
mod process_usage;
mod slope_line;

pub use slope_line::{SlopeLine, SlopePoint};

use crate::cluster::ClusterError;

/// Measures all slopes, one after another.
///
/// # Errors
/// `ClusterError` if a cluster does not start or a measurement fails.
pub async fn run_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut lines = decision_slopes::measure_decision_slopes(seed)?;
    lines.extend(daemon_slopes::measure_daemon_slopes(seed).await?);
    Ok(lines)
}
