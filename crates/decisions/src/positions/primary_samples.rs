use std::{collections::VecDeque, time::Duration};

use super::{BranchHistory, LogPosition};
use crate::clock::Moment;

/// How long samples of the primary are kept.
const SAMPLE_RETENTION: Duration = Duration::from_secs(120);
/// Shortest distance between two kept samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(20);

/// Positions seen at the primary, each with the moment its request was sent.
///
/// A replica that holds a sampled position held everything the primary had
/// when that sample's request was sent, so its age is counted on the
/// observer's clock alone.
#[derive(Debug, Default)]
pub struct PrimarySamples {
    samples: VecDeque<(Moment, LogPosition)>,
}

impl PrimarySamples {
    /// Records a position that the primary reported to a request sent at
    /// `sent_at`. Samples out of order are ignored.
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

    /// The latest moment at which the primary had nothing that a database at
    /// `held` lacks.
    pub fn fresh_as_of(&self, history: &BranchHistory, held: LogPosition) -> Option<Moment> {
        self.samples
            .iter()
            .rev()
            .find(|(_, position)| history.covers(held, *position))
            .map(|(sent_at, _)| *sent_at)
    }

    /// Forgets all samples, at a change of primary.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
