use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Hexadecimal digits of the digest that stands for a key in logs.
const DIGEST_DIGITS: usize = 8;

/// The secret by which a caller proves that it belongs to a workspace.
///
/// `Debug` and `Display` show a digest, so that a key cannot reach a log by
/// accident.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerKey(Arc<str>);

impl CallerKey {
    /// A key as the caller or the configuration gives it.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// True if the key can stand as a field of the callers' protocol: not empty,
    /// without blanks and control characters.
    pub fn is_well_formed(&self) -> bool {
        !self.0.is_empty() && !self.0.chars().any(|c| c.is_whitespace() || c.is_control())
    }
}

impl fmt::Display for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digest = blake3::hash(self.0.as_bytes()).to_hex();
        f.write_str(&digest[..DIGEST_DIGITS])
    }
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({self})")
    }
}
