use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use hawthornstack_decisions::{
    clock::Moment,
    control_state::{ControlState, Declaration, HostRecord, Intent, ServiceDeclaration},
    directory::{Announcement, DatabaseRole},
    identity::{DataCentre, DatabaseName, GroupName, HostId},
    pg_host::{
        HostEffect, HostEvent, HostSettings, HostState, LeaseRequest, OperatorAnswer,
        OperatorQuestion, PeerMessage,
    },
};

use super::slope_line::{SlopeLine, SlopePoint};
use crate::cluster::ClusterError;

/// Numbers of groups in the directory, each of three databases.
const GROUP_COUNTS: [u32; 4] = [50, 200, 400, 833];
/// Numbers of hosts that request leases from the leader.
const HOST_COUNTS: [u32; 4] = [50, 200, 800, 1_700];
/// Repetitions of a timed step.
const REPETITIONS: u32 = 300;
/// Maximum number of instances of a service; larger counts of groups need more
/// services.
const MAX_INSTANCES: u32 = 1_000;

/// A leader that is the only voter, driven without network and disk.
struct SingleVoter {
    state: HostState,
    now: Moment,
    tickets: u64,
}

fn invalid(error: impl std::fmt::Display) -> ClusterError {
    ClusterError::Invalid { text: error.to_string() }
}

fn host_record(id: u32) -> Result<HostRecord, ClusterError> {
    Ok(HostRecord {
        id: HostId(id),
        peer_address: SocketAddr::from(([10, (id >> 16) as u8, (id >> 8) as u8, id as u8], 7_432)),
        caller_address: SocketAddr::from((
            [10, (id >> 16) as u8, (id >> 8) as u8, id as u8],
            6_432,
        )),
        data_centre: DataCentre::new(&format!("tx-central-{}", id % 12)).map_err(invalid)?,
        draining: false,
    })
}

impl SingleVoter {
    fn start(seed: u64) -> Result<Self, ClusterError> {
        let settings = HostSettings {
            record: host_record(1)?,
            voters: [HostId(1)].into(),
            lease_duration: Duration::from_secs(3_600),
            lease_renewal: Duration::from_secs(1),
            suspect_after: Duration::from_millis(400),
            stall_after: Duration::from_millis(1_500),
            gateways_per_group: 3,
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(50),
            seed,
        };
        let state = HostState::new(settings, Vec::new(), Moment::ZERO);
        let mut leader = Self { state, now: Moment::ZERO, tickets: 0 };
        for _ in 0..200 {
            leader.step(HostEvent::Tick);
        }
        Ok(leader)
    }

    /// Applies an event and confirms all writes to the journal at once.
    fn step(&mut self, event: HostEvent) -> Vec<HostEffect> {
        self.now = self.now + Duration::from_millis(10);
        let effects = self.state.step(self.now, event);
        let mut all = Vec::new();
        for effect in effects {
            if let HostEffect::Persist { number, .. } = &effect {
                all.extend(self.state.step(self.now, HostEvent::Persisted(*number)));
            }
            all.push(effect);
        }
        all
    }

    fn ask_leader(&mut self, question: OperatorQuestion) -> Option<OperatorAnswer> {
        self.tickets += 1;
        let ticket = self.tickets;
        let effects = self.step(HostEvent::OperatorAsked { ticket, question });
        effects.into_iter().find_map(|effect| match effect {
            HostEffect::Answer { answer, .. } => Some(answer),
            _ => None,
        })
    }

    fn execute_intent(&mut self, intent: Intent) -> Result<(), ClusterError> {
        let Some(OperatorAnswer::Plan(Ok(plan))) = self.ask_leader(OperatorQuestion::Plan(intent))
        else {
            return Err(invalid("the leader made no plan"));
        };
        self.ask_leader(OperatorQuestion::Confirm {
            request: Arc::from(format!("slope-{}", plan.id)),
            plan: plan.id,
            operator: Arc::from("slopes"),
            at_unix_ms: 0,
        });
        Ok(())
    }

    fn join_host(&mut self, id: u32) -> Result<(), ClusterError> {
        let request = LeaseRequest {
            record: host_record(id)?,
            sent_at: self.now,
            applied: self.state.control().applied,
            leaving: false,
        };
        let message = PeerMessage::LeaseRequest(request);
        self.step(HostEvent::Peer(HostId(id), message));
        Ok(())
    }

    fn announce_group(&mut self, number: u32) -> Result<(), ClusterError> {
        let name = group_name(number);
        for database in 1..=3 {
            let announcement = Announcement {
                database: DatabaseName::new(&format!("{name}-db{database}")).map_err(invalid)?,
                group: GroupName::new(&name).map_err(invalid)?,
                address: SocketAddr::from(([10, 0, 0, 1], 5_432)),
                data_centre: DataCentre::new("tx-central-1").map_err(invalid)?,
                connections: 16,
                slots: 2,
                role: if database == 1 { DatabaseRole::Primary } else { DatabaseRole::Replica },
                term: 1,
                leaving: false,
            };
            self.step(HostEvent::Announced(announcement));
        }
        Ok(())
    }

    /// Measures the mean time of a step, in microseconds. The confirmation of
    /// journal writes is not included.
    fn measure_step_time(&mut self, event: impl Fn(Moment) -> HostEvent) -> f64 {
        let mut elapsed = Duration::ZERO;
        for _ in 0..REPETITIONS {
            self.now = self.now + Duration::from_millis(10);
            let event = event(self.now);
            let started_at = Instant::now();
            let effects = self.state.step(self.now, event);
            elapsed += started_at.elapsed();
            for effect in effects {
                if let HostEffect::Persist { number, .. } = effect {
                    self.state.step(self.now, HostEvent::Persisted(number));
                }
            }
        }
        elapsed.as_secs_f64() * 1e6 / f64::from(REPETITIONS)
    }
}

fn group_name(number: u32) -> String {
    format!("service-{}.{}", number / MAX_INSTANCES, number % MAX_INSTANCES + 1)
}

fn declaration(groups: u32) -> Declaration {
    let services = (0..=groups / MAX_INSTANCES).map(|service| {
        let declared = ServiceDeclaration {
            instances: MAX_INSTANCES.min(groups - service * MAX_INSTANCES).max(1),
            databases: 3,
            max_waiting: 1_000,
        };
        (Arc::from(format!("service-{service}")), declared)
    });
    Declaration { services: services.collect::<BTreeMap<_, _>>() }
}

fn state_bytes(state: &ControlState) -> Result<f64, ClusterError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes).map_err(invalid)?;
    Ok(bytes.len() as f64)
}

/// Starts a leader with this many other hosts and groups. Its own host is
/// drained, so that it serves no callers.
fn start_leader(groups: u32, hosts: u32, seed: u64) -> Result<SingleVoter, ClusterError> {
    let mut leader = SingleVoter::start(seed)?;
    leader.execute_intent(Intent::DrainHost(HostId(1)))?;
    for id in 2..2 + hosts {
        leader.join_host(id)?;
    }
    leader.execute_intent(Intent::Declare(declaration(groups)))?;
    for number in 0..groups {
        leader.announce_group(number)?;
    }
    let formed = leader.state.control().groups.len();
    match formed == groups as usize {
        true => Ok(leader),
        false => Err(invalid(format!("{formed} of {groups} groups were formed"))),
    }
}

pub(super) fn measure_decision_slopes(seed: u64) -> Result<Vec<SlopeLine>, ClusterError> {
    let mut bytes = Vec::new();
    let mut tick_times = Vec::new();
    for groups in GROUP_COUNTS {
        let mut leader = start_leader(groups, 6, seed)?;
        let size = f64::from(groups);
        bytes.push(SlopePoint { size, value: state_bytes(leader.state.control())? });
        tick_times.push(SlopePoint { size, value: leader.measure_step_time(|_| HostEvent::Tick) });
    }
    let mut host_bytes = Vec::new();
    let mut renewal_times = Vec::new();
    for hosts in HOST_COUNTS {
        let mut leader = start_leader(3, hosts, seed)?;
        let size = f64::from(hosts);
        host_bytes.push(SlopePoint { size, value: state_bytes(leader.state.control())? });
        let record = host_record(2)?;
        let applied = leader.state.control().applied;
        let renewal = |sent_at: Moment| {
            let request = LeaseRequest { record: record.clone(), sent_at, applied, leaving: false };
            HostEvent::Peer(HostId(2), PeerMessage::LeaseRequest(request))
        };
        renewal_times.push(SlopePoint { size, value: leader.measure_step_time(renewal) });
    }
    Ok(vec![
        SlopeLine::fit("configuration, encoded", "group of 3", "bytes", bytes),
        SlopeLine::fit("leader's tick", "group of 3", "us", tick_times),
        SlopeLine::fit("configuration, encoded", "host", "bytes", host_bytes),
        SlopeLine::fit("lease renewal at the leader", "host", "us", renewal_times),
    ])
}
