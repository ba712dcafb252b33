use std::{str::FromStr, time::Duration};

/// Names of the deployments, one for each user of hawthornstack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentName {
    /// Lone Star Banquet Staffing Cooperative.
    LoneStar,
    /// Cascade Pew Registry Group.
    Cascade,
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "lone-star" => Ok(Self::LoneStar),
            "cascade" => Ok(Self::Cascade),
            _ => Err("expected lone-star or cascade".to_owned()),
        }
    }
}

/// Sizes and delays of one deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the service.
    pub service: &'static str,
    /// Prefix of the names of data centres, before a hyphen and a number.
    pub region: &'static str,
    /// Number of data centres.
    pub data_centres: u32,
    /// Number of instances of the service; each has one group of databases.
    pub instances: u32,
    /// Number of databases of each instance.
    pub databases: u32,
    /// Number of statements that a database runs concurrently.
    pub slots: u32,
    /// Number of connections that a database accepts.
    pub connections: u32,
    /// Time that a database takes to open a connection.
    pub connection_cost: Duration,
    /// Time that a statement occupies a slot.
    pub service_time: Duration,
    /// Mean replication lag of a replica.
    pub lag: Duration,
    /// What a claim stands for, singular, in the demo's progress messages.
    pub claim_word: &'static str,
}

impl Deployment {
    /// Current size and delays of a user's deployment.
    pub fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::LoneStar => Self {
                service: "shiftbook",
                region: "tx-central",
                data_centres: 4,
                instances: 3,
                databases: 3,
                slots: 2,
                connections: 16,
                connection_cost: Duration::from_millis(10),
                service_time: Duration::from_micros(500),
                lag: Duration::from_millis(20),
                claim_word: "shift",
            },
            DeploymentName::Cascade => Self {
                service: "seat-ledger",
                region: "cascadia",
                data_centres: 4,
                instances: 3,
                databases: 3,
                slots: 5,
                connections: 50,
                connection_cost: Duration::from_millis(30),
                service_time: Duration::from_micros(500),
                lag: Duration::from_millis(20),
                claim_word: "seat",
            },
        }
    }
}
