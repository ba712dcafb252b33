//! Parsing of callers' statements: their class for routing, and the settings in them.

mod caller_setting;
mod classifier;
mod hints;
mod read_check;

pub use caller_setting::{CallerSetting, SETTING_PREFIX, SettingError};
pub use classifier::{SetAssignment, StatementClass, classify};
pub use hints::{read_hints, strip_hints};
