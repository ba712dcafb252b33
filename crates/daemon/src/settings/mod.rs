//! Settings of a daemon: parsed from YAML and validated before any service starts.

mod daemon_settings;
mod settings_error;

pub use daemon_settings::{
    ControlSettings, DaemonSettings, FailoverSettings, GroupSettings, HostIdentity, ListenSettings,
    LogSettings, SessionSettings, VoterAddress,
};
pub use settings_error::SettingsError;
