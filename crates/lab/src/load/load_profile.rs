use std::{str::FromStr, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Maximum staleness that stale reads accept.
const MAX_READ_AGE: Duration = Duration::from_secs(1);

/// A mix of statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadProfile {
    /// Crews are confirmed at call time: many writes.
    CallTime,
    /// Workers browse open shifts: almost only stale reads.
    Browsing,
    /// The peak before the holy days: mostly stale reads, few writes.
    HolyDays,
    /// Workers claim items: half of the statements are writes.
    Claims,
}

/// Kind of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadStatement {
    /// Accepts data up to `MAX_READ_AGE` old.
    StaleRead,
    /// Must see the earlier writes of its session.
    SessionRead,
    Write,
}

impl FromStr for LoadProfile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "call-time" => Ok(Self::CallTime),
            "browsing" => Ok(Self::Browsing),
            "holy-days" => Ok(Self::HolyDays),
            "claims" => Ok(Self::Claims),
            _ => Err("expected call-time, browsing, holy-days or claims".to_owned()),
        }
    }
}

impl LoadProfile {
    /// Percentages of stale reads and of session reads; the rest are writes.
    const fn read_percentages(self) -> (u32, u32) {
        match self {
            Self::CallTime => (40, 30),
            Self::Browsing => (95, 4),
            Self::HolyDays => (80, 15),
            Self::Claims => (20, 30),
        }
    }

    pub(super) fn choose_statement(self, rng: &mut ChaCha8Rng) -> LoadStatement {
        let (stale, session) = self.read_percentages();
        match rng.random_range(0..100) {
            percent if percent < stale => LoadStatement::StaleRead,
            percent if percent < stale + session => LoadStatement::SessionRead,
            _ => LoadStatement::Write,
        }
    }

    /// Statements per second that one group can run: reads on all databases,
    /// writes only on the primary.
    pub(super) fn capacity(self, slots: u32, databases: u32, service_time: Duration) -> f64 {
        let (stale, session) = self.read_percentages();
        let writes = f64::from(100 - stale - session) / 100.0;
        let per_database = f64::from(slots) / service_time.as_secs_f64();
        (per_database * f64::from(databases)).min(per_database / writes.max(1e-6))
    }
}

impl LoadStatement {
    pub(super) fn sql(self, item: u64) -> String {
        match self {
            Self::StaleRead => format!(
                "/* hawthornstack: max_age={}ms */ SELECT value FROM items WHERE item = {item}",
                MAX_READ_AGE.as_millis()
            ),
            Self::SessionRead => format!("SELECT value FROM items WHERE item = {item}"),
            Self::Write => format!("UPDATE items SET value = value + 1 WHERE item = {item}"),
        }
    }
}
