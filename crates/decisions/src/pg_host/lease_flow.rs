use super::{HostState, LeaseGrant, LeaseRequest, PeerMessage};
use crate::{
    clock::Moment,
    control_state::{ControlCommand, HostRecord},
    identity::HostId,
};

/// Unanswered lease requests after which other voters are asked for the leader.
const UNANSWERED_LIMIT: u32 = 2;

impl HostState {
    pub(super) fn renew_lease(&mut self, now: Moment) {
        if now < self.lease_due {
            return;
        }
        self.lease_due = now + self.settings.lease_renewal;
        if self.is_current_leader(now) {
            return self.renew_own_lease(now);
        }
        let Some(to) = self.choose_lease_target() else {
            return;
        };
        self.unanswered_lease_requests += 1;
        let request = LeaseRequest {
            record: self.settings.record.clone(),
            sent_at: now,
            applied: self.control.applied,
            leaving: self.leaving,
        };
        self.send(to, PeerMessage::LeaseRequest(request));
    }

    /// The known leader, or the other voters in turn while it is unknown or does
    /// not answer.
    fn choose_lease_target(&self) -> Option<HostId> {
        let me = self.settings.id();
        let known = self.leader.filter(|leader| *leader != me);
        if self.unanswered_lease_requests <= UNANSWERED_LIMIT && known.is_some() {
            return known;
        }
        let voters: Vec<HostId> =
            self.settings.voters.iter().copied().filter(|voter| *voter != me).collect();
        let turn = self.unanswered_lease_requests as usize % voters.len().max(1);
        voters.get(turn).copied()
    }

    fn renew_own_lease(&mut self, now: Moment) {
        let me = self.settings.id();
        let record = self.settings.record.clone();
        let required = self.agreement.as_ref().map_or(0, |agreement| agreement.commit());
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let duration = leader_state.leases.grant(now, me);
        self.lease.extend(now, duration, required);
        self.unanswered_lease_requests = 0;
        let leaving = self.leaving;
        self.record_host(now, record, leaving);
    }

    pub(super) fn handle_lease_request(
        &mut self,
        now: Moment,
        from: HostId,
        request: LeaseRequest,
    ) {
        let required = self.agreement.as_ref().map_or(0, |agreement| agreement.commit());
        let current = self.is_current_leader(now);
        let Some(leader_state) = self.leader_state.as_mut().filter(|_| current) else {
            let leader = self.leader;
            return self.send(from, PeerMessage::LeaderIs(leader));
        };
        let duration = leader_state.leases.grant(now, from);
        let grant = LeaseGrant { sent_at: request.sent_at, duration, required_index: required };
        self.send(from, PeerMessage::LeaseGrant(grant));
        self.record_host(now, request.record, request.leaving);
    }

    pub(super) fn handle_lease_grant(&mut self, now: Moment, from: HostId, grant: &LeaseGrant) {
        self.leader = Some(from);
        self.unanswered_lease_requests = 0;
        self.lease.extend(grant.sent_at, grant.duration, grant.required_index);
        self.dispatch_all_waiting(now);
    }

    pub(super) fn update_leader(&mut self, now: Moment, leader: Option<HostId>) {
        if leader.is_some() && self.leader != leader {
            self.leader = leader;
            self.unanswered_lease_requests = 0;
            self.lease_due = now;
        }
    }

    /// Reports at once to the control leader that this host shuts down, so that its
    /// groups get another gateway and no lookup waits for it as a position host.
    pub(super) fn announce_shutdown(&mut self, now: Moment) {
        self.leaving = true;
        self.lease_due = now;
        self.renew_lease(now);
    }

    /// Commits a host's record if it changed, or its departure if it is leaving.
    fn record_host(&mut self, now: Moment, record: HostRecord, leaving: bool) {
        let known = self.control.hosts.get(&record.id);
        if leaving {
            if known.is_some() {
                self.propose_once(now, ControlCommand::HostLeft(record.id));
            }
            return;
        }
        let unchanged = known.is_some_and(|known| {
            HostRecord { draining: known.draining, ..record.clone() } == *known
        });
        if !unchanged {
            self.propose_once(now, ControlCommand::HostJoined(record));
        }
    }
}
