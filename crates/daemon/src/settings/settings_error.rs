use std::path::PathBuf;

use snafu::Snafu;

/// Why a settings file was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its rights", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text does not fit the settings.
    #[snafu(display("{source}; see docs/SETTINGS.md for the keys and units"))]
    Malformed {
        /// What the parser found, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// A value cannot work.
    #[snafu(display("{key}: {reason}"))]
    Impossible {
        /// The key, with its path.
        key: &'static str,
        /// What is wrong and how to mend it.
        reason: String,
    },
}
