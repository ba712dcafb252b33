use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::identity::{DataCentre, DatabaseName, GroupName, HostId};

/// Membership state of a database in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStanding {
    /// Full member: gets work and counts for the group's majority.
    Counting,
    /// Replicates and serves reads but does not count for the majority yet.
    Joining,
    /// Gets no new work and cannot become primary, but still counts for the
    /// majority.
    Draining,
    /// Gets no work and does not count for the majority.
    Left,
}

/// Committed record of one database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique over all groups.
    pub database: DatabaseName,
    /// Address at which it accepts PostgreSQL connections.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Most connections that it accepts, from all clients together.
    pub connections: u32,
    /// Statements that it runs concurrently.
    pub slots: u32,
    /// Membership state in its group.
    pub standing: MemberStanding,
}

impl MemberRecord {
    /// True if the member counts when the group's majority is computed.
    pub fn counts_for_majority(&self) -> bool {
        matches!(self.standing, MemberStanding::Counting | MemberStanding::Draining)
    }

    /// True if the member may be sent new statements.
    pub fn accepts_work(&self) -> bool {
        matches!(self.standing, MemberStanding::Counting | MemberStanding::Joining)
    }
}

/// Progress of a change of primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPhase {
    /// No change: the primary of the record's term accepts writes.
    Steady,
    /// The primary of the record's term is being fenced off; `next_term` will
    /// replace the term.
    Fencing {
        /// The term that follows.
        next_term: u64,
        /// The change is planned, as the primary drains; false after a failure.
        planned: bool,
    },
    /// The chosen database is being promoted to primary of `next_term`.
    Promoting {
        /// The term that follows.
        next_term: u64,
        /// The chosen database.
        chosen: DatabaseName,
    },
}

/// Committed record of one database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name in the form `SERVICE.INSTANCE`.
    pub name: GroupName,
    /// Current term.
    pub term: u64,
    /// Primary of the current term.
    pub primary: DatabaseName,
    /// Progress of a change of primary.
    pub phase: GroupPhase,
    /// All databases by name, including those that left.
    pub members: BTreeMap<DatabaseName, MemberRecord>,
    /// Hosts that hold connections to the group's databases.
    #[serde(rename = "homes")]
    pub gateways: Vec<HostId>,
    /// Number of shares into which each database's connections are split: one
    /// per gateway, and one for a gateway that is being replaced.
    #[serde(rename = "home_shares")]
    pub gateway_shares: u32,
}

impl GroupRecord {
    /// Number of databases that form a majority of the group.
    pub fn majority(&self) -> usize {
        self.counting_members().count() / 2 + 1
    }

    /// Members that count for the majority.
    pub fn counting_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|member| member.counts_for_majority())
    }

    /// Highest term reserved so far: the next term during a change of primary,
    /// else the current term.
    pub fn highest_term(&self) -> u64 {
        match &self.phase {
            GroupPhase::Steady => self.term,
            GroupPhase::Fencing { next_term, .. } | GroupPhase::Promoting { next_term, .. } => {
                *next_term
            }
        }
    }

    /// Connections to one database that each gateway may use for requests: an
    /// even split, less one connection per gateway for status reports and orders.
    pub fn connection_share(&self, member: &MemberRecord) -> u32 {
        let split = member.connections / self.gateway_shares.max(1);
        split.saturating_sub(1).max(1)
    }
}
