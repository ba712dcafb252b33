use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::identity::GroupName;

/// Most instances of a service.
const MAX_INSTANCES: u32 = 1_000;
/// Most databases of an instance.
const MAX_DATABASES: u32 = 9;
/// Most requests that may wait for one group on one host.
const MAX_WAITING: u32 = 100_000;

/// A declaration has a field that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("services.{service}.{field}: {reason}"))]
pub struct DeclarationError {
    /// Name of the service as declared.
    pub service: String,
    /// Field of the service, or `name` for the service name itself.
    pub field: &'static str,
    /// What is wrong with the value, or which values are allowed.
    pub reason: String,
}

/// Desired state of one service, as declared by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Number of instances; instance N, from 1, is the group `SERVICE.N`.
    pub instances: u32,
    /// Databases that must be present before an instance is formed.
    pub databases: u32,
    /// Requests that may wait for one group on one host.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
}

fn default_max_waiting() -> u32 {
    1_000
}

/// All that operators declare, as they keep it in version control.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceDeclaration>,
}

impl Declaration {
    /// Checks service names and the bounds of all fields.
    ///
    /// # Errors
    /// `DeclarationError` for the first field that is not valid.
    pub fn check(&self) -> Result<(), DeclarationError> {
        self.services.iter().try_for_each(|(name, service)| service.check(name))
    }
}

impl ServiceDeclaration {
    fn check(&self, name: &str) -> Result<(), DeclarationError> {
        let refuse = |field, reason: String| {
            Err(DeclarationError { service: name.to_owned(), field, reason })
        };
        if let Err(error) = GroupName::new(&format!("{name}.{MAX_INSTANCES}")) {
            return refuse("name", error.to_string());
        }
        if name.contains('.') {
            return refuse("name", "a service name must not contain '.'".to_owned());
        }
        if !(1..=MAX_INSTANCES).contains(&self.instances) {
            return refuse("instances", format!("must be between 1 and {MAX_INSTANCES}"));
        }
        if !(1..=MAX_DATABASES).contains(&self.databases) {
            return refuse("databases", format!("must be between 1 and {MAX_DATABASES}"));
        }
        if !(1..=MAX_WAITING).contains(&self.max_waiting) {
            return refuse("max_waiting", format!("must be between 1 and {MAX_WAITING}"));
        }
        Ok(())
    }
}
