/// Factor applied to the window when the database refuses a statement.
const SHRINK_FACTOR: f64 = 0.7;
/// Factor applied to the window when the database answers far slower than usual. It is
/// applied again and again until the database's queue is short.
const SLOW_SHRINK_FACTOR: f64 = 0.9;
/// Places of the smallest window for slow answers beyond the host's share of the slots.
/// They are left to urgent statements.
const URGENT_PLACES: f64 = 1.0;

/// Limit on the statements that a host has in flight at one database.
///
/// Databases run a few statements, queue a few more and refuse the rest. The
/// window grows while it is full and statements are answered, and shrinks when the
/// database refuses one. The hosts thus share the database's slots, and excess
/// statements wait on the host, where they can be ordered.
#[derive(Debug, Clone, Copy)]
pub struct InflightWindow {
    size: f64,
    min_size: f64,
    /// Size down to which the window shrinks for slow answers: all hosts together still
    /// use all slots.
    slow_min_size: f64,
    max_size: f64,
    answered_since_shrink: u32,
}

impl InflightWindow {
    /// A window for a database with `slots`, shared by `hosts`; at most
    /// `connections` statements.
    pub fn new(slots: u32, hosts: u32, connections: usize) -> Self {
        let share = f64::from(slots) / f64::from(hosts.max(1));
        let max_size = (connections.max(1)) as f64;
        let size = (2.0 * share).ceil().max(2.0).min(max_size);
        let slow_min_size = share.ceil().max(1.0) + URGENT_PLACES;
        Self { size, min_size: 1.0, slow_min_size, max_size, answered_since_shrink: 0 }
    }

    /// The number of statements that may be in flight.
    pub fn limit(&self) -> usize {
        self.size as usize
    }

    /// Sets the maximum size of the window, in statements.
    pub fn set_max(&mut self, connections: usize) {
        self.max_size = connections.max(1) as f64;
        self.size = self.size.min(self.max_size);
    }

    /// Records an answer that came while `running` statements were in flight.
    pub fn record_answer(&mut self, running: usize) {
        self.answered_since_shrink = self.answered_since_shrink.saturating_add(1);
        if running >= self.limit() {
            self.size = (self.size + 1.0 / self.size).min(self.max_size);
        }
    }

    /// Records an answer that shows that statements wait in the database's queue. The
    /// window shrinks at most once for each window of answers.
    pub fn record_slow_answer(&mut self) {
        self.answered_since_shrink = self.answered_since_shrink.saturating_add(1);
        if self.answered_since_shrink >= self.limit() as u32 {
            self.size = (self.size * SLOW_SHRINK_FACTOR).max(self.slow_min_size.min(self.size));
            self.answered_since_shrink = 0;
        }
    }

    /// Records that the database refused a statement because its queue was full.
    /// Refusals of statements sent before the last shrink do not shrink the window
    /// again.
    pub fn record_refusal(&mut self) {
        if self.answered_since_shrink >= self.limit() as u32 {
            self.size = (self.size * SHRINK_FACTOR).max(self.min_size);
            self.answered_since_shrink = 0;
        }
    }
}
