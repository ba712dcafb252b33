use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, positions::LogPosition};

/// Time for which marks are kept; reads that accept more age get a younger
/// mark.
const MARK_RETENTION: Duration = Duration::from_secs(10);
/// Shortest distance between two kept marks.
const MARK_SPACING: Duration = Duration::from_millis(25);

/// Positions of a service's primary, each with the moment its statement was
/// sent: the primary's log then held every commit acknowledged before.
#[derive(Debug, Default)]
pub struct SampledPositions {
    marks: VecDeque<(Moment, LogPosition)>,
}

impl SampledPositions {
    /// Records a position that came with an answer to a statement sent at
    /// `sent_at`, while the lease held.
    pub fn record(&mut self, sent_at: Moment, position: LogPosition) {
        if let Some((last, last_position)) = self.marks.back_mut() {
            if sent_at < *last || position < *last_position {
                return;
            }
            if sent_at.since(*last) < MARK_SPACING {
                return;
            }
        }
        self.marks.push_back((sent_at, position));
        while self.marks.front().is_some_and(|(at, _)| sent_at.since(*at) > MARK_RETENTION) {
            self.marks.pop_front();
        }
    }

    /// The oldest sample that is no older than `max_age`: what a read needs to
    /// see at least.
    pub fn oldest_within(&self, now: Moment, max_age: Duration) -> Option<(Moment, LogPosition)> {
        self.marks.iter().find(|(at, _)| now.since(*at) <= max_age).copied()
    }
}
