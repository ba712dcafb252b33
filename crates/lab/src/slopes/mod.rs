//! Slopes of state, traffic, processor time and memory over size.

mod daemon_slopes;
mod decision_slopes;
mod process_usage;
mod slope_line;

pub use slope_line::{SlopeLine, SlopePoint};

use crate::cluster::ClusterError;

/// Measures all slopes.
///
/// # Errors
/// `ClusterError` if a cluster does not start.
pub async fn run_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut lines = decision_slopes::decision_slopes(seed)?;
    lines.extend(daemon_slopes::daemon_slopes(seed).await?);
    Ok(lines)
}
