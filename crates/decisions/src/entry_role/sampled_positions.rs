use std::{collections::VecDeque, time::Duration};

use crate::{clock::Moment, positions::LogPosition};

/// Time for which samples are kept; reads that accept older data get a younger
/// sample.
const SAMPLE_RETENTION: Duration = Duration::from_secs(10);
/// Shortest time between two kept samples.
const SAMPLE_SPACING: Duration = Duration::from_millis(25);

/// Log positions of a service's primary, each with the time at which the statement
/// that returned it was sent. The position covers every commit that was
/// acknowledged before that time.
#[derive(Debug, Default)]
pub struct SampledPositions {
    samples: VecDeque<(Moment, LogPosition)>,
}

impl SampledPositions {
    /// Records the position in the answer to a statement sent at `sent_at`. The
    /// caller checks that the lease was still valid. A sample that is older or
    /// lower than the last one is ignored.
    pub fn record(&mut self, sent_at: Moment, position: LogPosition) {
        if let Some((last, last_position)) = self.samples.back_mut() {
            if sent_at < *last || position < *last_position {
                return;
            }
            if sent_at.since(*last) < SAMPLE_SPACING {
                return;
            }
        }
        self.samples.push_back((sent_at, position));
        while self.samples.front().is_some_and(|(at, _)| sent_at.since(*at) > SAMPLE_RETENTION) {
            self.samples.pop_front();
        }
    }

    /// The oldest sample that is no older than `max_age`: the minimum position
    /// that a read with this staleness bound must see.
    pub fn oldest_within(&self, now: Moment, max_age: Duration) -> Option<(Moment, LogPosition)> {
        self.samples.iter().find(|(at, _)| now.since(*at) <= max_age).copied()
    }
}
