use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Reason why a name is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The name holds no character.
    #[snafu(display("the name is empty; give 1 to {MAX_NAME_BYTES} characters"))]
    Empty,
    /// The name is too long.
    #[snafu(display("the name has {bytes} bytes; give at most {MAX_NAME_BYTES}"))]
    TooLong {
        /// Length found, in bytes.
        bytes: usize,
    },
    /// The name holds a character outside letters, digits, `-`, `_`, `.`, `:`.
    #[snafu(display("the name holds {found:?}; use letters, digits, '-', '_', '.' and ':'"))]
    BadCharacter {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { bytes: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Builds a name from a valid text.
            ///
            /// # Errors
            /// `NameError` if the text is empty, too long or holds a character that
            /// is not allowed.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(Arc::from(text)))
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = NameError;

            fn try_from(text: Arc<str>) -> Result<Self, NameError> {
                check_name(&text).map(|()| Self(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

checked_name! {
    /// Name of a database group: `SERVICE.INSTANCE`, which callers give as the
    /// database name.
    GroupName
}
checked_name! {
    /// Name of one upstream database, unique across all groups.
    DatabaseName
}
checked_name! {
    /// Name of a data centre.
    DataCentre
}

impl DataCentre {
    /// Stands for a data centre that is not known.
    pub fn unknown() -> Self {
        Self(Arc::from("unknown"))
    }
}

checked_name! {
    /// Identifier of a caller's session, chosen by the caller or by the host.
    SessionId
}
