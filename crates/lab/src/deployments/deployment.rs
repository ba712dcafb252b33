use std::{str::FromStr, time::Duration};

/// The users whose deployments can be run.
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
            _ => Err("give lone-star or cascade".to_owned()),
        }
    }
}

/// Sizes and delays of one deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its service.
    pub service: &'static str,
    /// Its region, before the number of a data centre.
    pub region: &'static str,
    /// Count of data centres.
    pub data_centres: u32,
    /// Instances of the service.
    pub instances: u32,
    /// Databases of an instance.
    pub databases: u32,
    /// Statements that a database runs at a time.
    pub slots: u32,
    /// Connections that a database accepts.
    pub connections: u32,
    /// Cost of a new connection.
    pub connection_cost: Duration,
    /// Time that a statement holds its slot.
    pub service_time: Duration,
    /// Mean lag of a replica.
    pub lag: Duration,
    /// Words of the demo for what is claimed.
    pub claim_word: &'static str,
}

impl Deployment {
    /// The named deployment at its size of today.
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
