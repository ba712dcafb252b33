use std::path::PathBuf;

use snafu::Snafu;

/// Why settings were rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display(
        "cannot read {}: {source}; check the path and its permissions",
        path.display()
    ))]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid YAML, or a key or value is not one of the settings.
    #[snafu(display("{source}; see docs/SETTINGS.md for the keys and units"))]
    Malformed {
        /// Error of the parser, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// A value is out of range or does not fit another one.
    #[snafu(display("{key}: {reason}"))]
    InvalidValue {
        /// Dotted path of the key, such as `control.lease`.
        key: &'static str,
        /// What is wrong, or which values are accepted.
        reason: String,
    },
}
