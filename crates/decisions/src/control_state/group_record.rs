use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::identity::{DataCentre, DatabaseName, GroupName, HostId};

/// How far a database has come in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStanding {
    /// Counts for the group's majority.
    Counting,
    /// Replicates and serves reads but does not count yet.
    Joining,
    /// Gets no new work and does not become primary, but still counts.
    Draining,
    /// Gets no work and does not count.
    Left,
}

/// Committed facts of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Unique name.
    pub database: DatabaseName,
    /// Where it accepts PostgreSQL connections.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// Connections it accepts, over all clients.
    pub connections: u32,
    /// Statements it runs at a time.
    pub slots: u32,
    /// How far it has come in its group.
    pub standing: MemberStanding,
}

impl MemberRecord {
    /// True if the member is one of the group's majority set.
    pub fn counts_for_majority(&self) -> bool {
        matches!(self.standing, MemberStanding::Counting | MemberStanding::Draining)
    }

    /// True if the member may get new work.
    pub fn accepts_work(&self) -> bool {
        matches!(self.standing, MemberStanding::Counting | MemberStanding::Joining)
    }
}

/// Where a change of primary stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPhase {
    /// The primary of the record's term accepts writes.
    Steady,
    /// The record's term is being replaced by `next_term`.
    Fencing {
        /// The term that follows.
        next_term: u64,
        /// The change was asked for, not caused by a failure.
        planned: bool,
    },
    /// A database was chosen to become primary of `next_term`.
    Promoting {
        /// The term that follows.
        next_term: u64,
        /// The chosen database.
        chosen: DatabaseName,
    },
}

/// Committed facts of one database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// `SERVICE.INSTANCE`.
    pub name: GroupName,
    /// The term in force.
    pub term: u64,
    /// The primary of that term.
    pub primary: DatabaseName,
    /// Where a change of primary stands.
    pub phase: GroupPhase,
    /// All databases, by name.
    pub members: BTreeMap<DatabaseName, MemberRecord>,
    /// Hosts that hold connections to the group's databases.
    #[serde(rename = "homes")]
    pub gateways: Vec<HostId>,
    /// Parts that each database's connections are split into: one per gateway,
    /// and one for a gateway that is being replaced.
    #[serde(rename = "home_shares")]
    pub gateway_shares: u32,
}

impl GroupRecord {
    /// Databases that make a majority of the group.
    pub fn majority(&self) -> usize {
        self.counting_members().count() / 2 + 1
    }

    /// Members that count for the majority.
    pub fn counting_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|member| member.counts_for_majority())
    }

    /// The highest term that this record reserves.
    pub fn highest_term(&self) -> u64 {
        match &self.phase {
            GroupPhase::Steady => self.term,
            GroupPhase::Fencing { next_term, .. } | GroupPhase::Promoting { next_term, .. } => {
                *next_term
            }
        }
    }

    /// Connections to one database that each gateway may hold for requests: an
    /// even split, less one connection per gateway for reports and orders.
    pub fn connection_share(&self, member: &MemberRecord) -> u32 {
        let split = member.connections / self.gateway_shares.max(1);
        split.saturating_sub(1).max(1)
    }
}
