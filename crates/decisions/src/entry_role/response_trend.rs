use std::time::Duration;

/// Weight of the newest response time in the moving averages.
const RECENT_WEIGHT: f64 = 0.1;
/// Share of the gap to the recent average by which the lowest one rises with each
/// answer: an overload of some seconds raises it little, while a database that stays
/// slower gets a new usual time after about a thousand answers.
const LOWEST_RISE: f64 = 0.001;
/// Priorities with times of their own; the less urgent ones share the last. Statements
/// of one priority take a similar time, so that a change of the mix is not mistaken for
/// a slow database.
const TRACKED_PRIORITIES: usize = 4;
/// Ratio of the recent to the lowest usual response time from which statements wait in
/// the database's queue.
const SLOW_FACTOR: f64 = 2.0;
/// Answers before an average is used.
const MIN_ANSWERS: u32 = 8;

#[derive(Debug, Clone, Copy, Default)]
struct ResponseTimes {
    recent_ms: f64,
    lowest_ms: f64,
    answers: u32,
}

impl ResponseTimes {
    fn record(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.answers = self.answers.saturating_add(1);
        match self.answers {
            1 => self.recent_ms = took_ms,
            _ => self.recent_ms += RECENT_WEIGHT * (took_ms - self.recent_ms),
        }
        if self.answers <= MIN_ANSWERS || self.recent_ms < self.lowest_ms {
            self.lowest_ms = self.recent_ms;
        } else {
            self.lowest_ms += LOWEST_RISE * (self.recent_ms - self.lowest_ms);
        }
    }
}

/// Recent response times of a database against the lowest usual ones, by priority.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseTrend {
    by_priority: [ResponseTimes; TRACKED_PRIORITIES],
    all: ResponseTimes,
}

impl ResponseTrend {
    /// Records the time from sending a statement to its answer.
    pub fn record(&mut self, priority: u32, took: Duration) {
        self.by_priority[tracked_index(priority)].record(took);
        self.all.record(took);
    }

    /// True if statements of this priority recently took more than twice their
    /// lowest usual time.
    pub fn is_slow(&self, priority: u32) -> bool {
        let times = &self.by_priority[tracked_index(priority)];
        times.answers > MIN_ANSWERS && times.recent_ms > SLOW_FACTOR * times.lowest_ms
    }

    /// Recent response time of all statements; `None` before eight answers.
    pub fn recent(&self) -> Option<Duration> {
        let known = self.all.answers >= MIN_ANSWERS;
        known.then(|| Duration::from_secs_f64(self.all.recent_ms / 1_000.0))
    }
}

fn tracked_index(priority: u32) -> usize {
    (priority as usize).min(TRACKED_PRIORITIES - 1)
}
