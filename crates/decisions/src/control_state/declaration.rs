use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::identity::GroupName;

/// Most instances that a service may have.
const MAX_INSTANCES: u32 = 1_000;
/// Most databases that an instance may have.
const MAX_DATABASES: u32 = 9;
/// Most requests that may wait for one group on one host.
const MAX_WAITING: u32 = 100_000;

/// Why a declaration was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("services.{service}.{field}: {reason}"))]
pub struct DeclarationError {
    /// The service concerned.
    pub service: String,
    /// The field concerned.
    pub field: &'static str,
    /// What is wrong and how to mend it.
    pub reason: String,
}

/// What operators want of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Count of instances; instance N is the group `SERVICE.N`, from 1.
    pub instances: u32,
    /// Databases that an instance needs before it is formed.
    pub databases: u32,
    /// Requests that may wait for one group on one host.
    #[serde(default = "default_waiting")]
    pub max_waiting: u32,
}

fn default_waiting() -> u32 {
    1_000
}

/// Everything that operators declare, as kept in version control.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceDeclaration>,
}

impl Declaration {
    /// Checks names and bounds.
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
            return refuse("name", "a service name holds no '.'".to_owned());
        }
        if !(1..=MAX_INSTANCES).contains(&self.instances) {
            return refuse("instances", format!("give 1 to {MAX_INSTANCES}"));
        }
        if !(1..=MAX_DATABASES).contains(&self.databases) {
            return refuse("databases", format!("give 1 to {MAX_DATABASES}"));
        }
        if !(1..=MAX_WAITING).contains(&self.max_waiting) {
            return refuse("max_waiting", format!("give 1 to {MAX_WAITING}"));
        }
        Ok(())
    }
}
