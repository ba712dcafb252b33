use std::{collections::VecDeque, time::Duration};

use super::{BranchHistory, LogPosition};
use crate::clock::Moment;

/// Time for which samples are kept.
const SAMPLE_RETENTION: Duration = Duration::from_secs(120);
/// Shortest time between two kept samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(20);

/// Positions that the primary reported, each with the time at which the request for
/// it was sent.
///
/// A replica that holds a sampled position holds everything that the primary had
/// when that request was sent, so the age of its data is measured by the observer's
/// clock alone.
#[derive(Debug, Default)]
pub struct PrimarySamples {
    samples: VecDeque<(Moment, LogPosition)>,
}

impl PrimarySamples {
    /// Records a position that the primary reported to a request sent at
    /// `sent_at`. Samples that are out of order are ignored.
    pub fn record(&mut self, sent_at: Moment, position: LogPosition) {
        if let Some((last, last_position)) = self.samples.back_mut() {
            if sent_at < *last {
                return;
            }
            if position == *last_position {
                *last = sent_at;
                return;
            }
            if sent_at.since(*last) < SAMPLE_SPACING {
                return;
            }
        }
        self.samples.push_back((sent_at, position));
        while let Some((oldest, _)) = self.samples.front() {
            if sent_at.since(*oldest) <= SAMPLE_RETENTION {
                break;
            }
            self.samples.pop_front();
        }
    }

    /// The latest sampled time at which the primary held nothing that a database whose
    /// log ends at `log_end` lacks.
    pub fn fresh_as_of(&self, history: &BranchHistory, log_end: LogPosition) -> Option<Moment> {
        self.samples
            .iter()
            .rev()
            .find(|(_, position)| history.covers(log_end, *position))
            .map(|(sent_at, _)| *sent_at)
    }

    /// Removes all samples, after a change of primary.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
