/// Part of the window that stays after a database had no room.
const SHRINK_FACTOR: f64 = 0.7;

/// How many statements a host has at one database at a time.
///
/// Databases run a few statements and queue a few more; beyond that they
/// refuse. The window grows while all of it is used and answered, and shrinks
/// when the database refuses, so that the hosts share its places and what
/// waits, waits here, where it can be ordered.
#[derive(Debug, Clone, Copy)]
pub struct InflightWindow {
    size: f64,
    smallest: f64,
    largest: f64,
    answered_since_shrink: u32,
}

impl InflightWindow {
    /// A window for a database with `slots`, shared by `hosts`; never beyond
    /// `connections`.
    pub fn new(slots: u32, hosts: u32, connections: usize) -> Self {
        let share = f64::from(slots) / f64::from(hosts.max(1));
        let largest = (connections.max(1)) as f64;
        let size = (2.0 * share).ceil().max(2.0).min(largest);
        Self { size, smallest: 1.0, largest, answered_since_shrink: 0 }
    }

    /// The number of statements that may be under way.
    pub fn limit(&self) -> usize {
        self.size as usize
    }

    /// Sets the largest size of the window, in statements.
    pub fn set_max(&mut self, connections: usize) {
        self.largest = connections.max(1) as f64;
        self.size = self.size.min(self.largest);
    }

    /// Records an answer given while `running` statements were under way.
    pub fn record_answer(&mut self, running: usize) {
        self.answered_since_shrink = self.answered_since_shrink.saturating_add(1);
        if running >= self.limit() {
            self.size = (self.size + 1.0 / self.size).min(self.largest);
        }
    }

    /// Records that the database had no room. Refusals of statements that were
    /// sent before the last shrink do not count again.
    pub fn record_refusal(&mut self) {
        if self.answered_since_shrink >= self.limit() as u32 {
            self.size = (self.size * SHRINK_FACTOR).max(self.smallest);
            self.answered_since_shrink = 0;
        }
    }
}
