use std::{str::FromStr, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Age that aged reads accept.
const READ_AGE: Duration = Duration::from_secs(1);

/// A mix of statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadProfile {
    /// Crews are confirmed at call time: many writes.
    CallTime,
    /// Workers browse open shifts: almost only reads that accept age.
    Browsing,
    /// The peak before the holy days: reads that accept age, some writes.
    HolyDays,
    /// Claims compete for few items.
    Claims,
}

/// One statement of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadStatement {
    AgedRead,
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
            _ => Err("give call-time, browsing, holy-days or claims".to_owned()),
        }
    }
}

impl LoadProfile {
    /// Percent of aged reads and of session reads; the rest are writes.
    const fn percent(self) -> (u32, u32) {
        match self {
            Self::CallTime => (40, 30),
            Self::Browsing => (95, 4),
            Self::HolyDays => (80, 15),
            Self::Claims => (20, 30),
        }
    }

    pub(super) fn choose(self, rng: &mut ChaCha8Rng) -> LoadStatement {
        let (aged, session) = self.percent();
        match rng.random_range(0..100) {
            share if share < aged => LoadStatement::AgedRead,
            share if share < aged + session => LoadStatement::SessionRead,
            _ => LoadStatement::Write,
        }
    }

    /// Statements a second that one group can run: reads on all databases,
    /// writes on the primary alone.
    pub(super) fn capacity(self, slots: u32, databases: u32, service_time: Duration) -> f64 {
        let (aged, session) = self.percent();
        let writes = f64::from(100 - aged - session) / 100.0;
        let one = f64::from(slots) / service_time.as_secs_f64();
        (one * f64::from(databases)).min(one / writes.max(1e-6))
    }
}

impl LoadStatement {
    pub(super) fn sql(self, item: u64) -> String {
        match self {
            Self::AgedRead => format!(
                "/* hawthornstack: max_age={}ms */ SELECT value FROM items WHERE item = {item}",
                READ_AGE.as_millis()
            ),
            Self::SessionRead => format!("SELECT value FROM items WHERE item = {item}"),
            Self::Write => format!("UPDATE items SET value = value + 1 WHERE item = {item}"),
        }
    }
}
