use std::time::Duration;

use super::{HostState, PeerMessage, PositionAnswer, PositionQuery};
use crate::{
    clock::Moment,
    identity::{HostId, RequestId, SessionId},
    outcomes::ResultCode,
    positions::LogPosition,
    requests::{PositionSource, RequestPhase},
    sessions::{StoredPosition, session_position_hosts},
};

/// Time that position hosts have to answer before a read goes to the primary
/// instead.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which lookups do not wait for a position host that did not answer.
const SILENT_HOST_SKIP: Duration = Duration::from_secs(2);
/// Time that position hosts have to store a position.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl HostState {
    fn position_hosts_of(&self, session: &SessionId) -> Vec<HostId> {
        session_position_hosts(session, self.control.hosts.keys().copied())
    }

    /// Asks all position hosts of the request's session for its position.
    pub(super) fn look_up_position(&mut self, now: Moment, request: RequestId) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(session) = record.arrival.session.clone() else {
            return self.enqueue(now, request);
        };
        let group = record.arrival.group.clone();
        let known = match record.arrival.position_source {
            PositionSource::Known(position) | PositionSource::PositionHosts(position) => position,
        };
        let until = now + LOOKUP_TIMEOUT;
        let position_hosts = self.position_hosts_of(&session);
        if let Some(record) = self.requests.get_mut(&request) {
            record.phase = RequestPhase::LookingUpPosition {
                waiting: position_hosts.iter().copied().collect(),
                found: Some(known),
                until,
            };
        }
        self.set_deadline(request, until);
        self.silent_position_hosts.retain(|_, until| *until > now);
        let any_silent =
            position_hosts.iter().any(|host| self.silent_position_hosts.contains_key(host));
        let hosts_version = self.control.hosts_version;
        for host in position_hosts {
            let query = PositionQuery {
                request,
                session: session.clone(),
                group: group.clone(),
                hosts_version,
            };
            if host == self.settings.id() {
                let position = self.find_position(&query);
                self.handle_position_answer(now, host, PositionAnswer { request, position });
            } else {
                self.send(host, PeerMessage::PositionQuery(query));
            }
        }
        if any_silent {
            self.cancel_lookup(now, request);
        }
    }

    /// Records the position hosts that did not answer an expired lookup. Lookups
    /// do not wait for them until they answer again or `SILENT_HOST_SKIP` has
    /// passed.
    pub(super) fn record_silent_hosts(&mut self, now: Moment, request: RequestId) {
        let phase = self.requests.get(&request).map(|record| record.phase.clone());
        if let Some(RequestPhase::LookingUpPosition { waiting, until, .. }) = phase
            && until <= now
        {
            let until = now + SILENT_HOST_SKIP;
            self.silent_position_hosts.extend(waiting.into_iter().map(|host| (host, until)));
        }
    }

    /// Ends a lookup that cannot succeed, so that the read goes to the primary.
    fn cancel_lookup(&mut self, now: Moment, request: RequestId) {
        if let Some(record) = self.requests.get_mut(&request)
            && matches!(record.phase, RequestPhase::LookingUpPosition { .. })
        {
            record.session_position = None;
            self.enqueue(now, request);
        }
    }

    fn find_position(&self, query: &PositionQuery) -> Option<LogPosition> {
        if query.hosts_version != self.control.hosts_version {
            return None;
        }
        self.positions.find(&query.session, &query.group)
    }

    fn raise_position(&mut self, stored: StoredPosition) {
        let position_hosts = self.position_hosts_of(&stored.session);
        self.positions.raise(stored, &position_hosts);
    }

    pub(super) fn handle_position_query(&mut self, from: HostId, query: PositionQuery) {
        let position = self.find_position(&query);
        let answer = PositionAnswer { request: query.request, position };
        self.send(from, PeerMessage::PositionAnswer(answer));
    }

    pub(super) fn handle_position_answer(
        &mut self,
        now: Moment,
        from: HostId,
        answer: PositionAnswer,
    ) {
        self.silent_position_hosts.remove(&from);
        let request = answer.request;
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let RequestPhase::LookingUpPosition { waiting, found, .. } = &mut record.phase else {
            return;
        };
        if !waiting.remove(&from) {
            return;
        }
        *found = match (*found, answer.position) {
            (Some(highest), Some(position)) => Some(highest.max(position)),
            _ => None,
        };
        if waiting.is_empty() || found.is_none() {
            record.session_position = *found;
            self.enqueue(now, request);
        }
    }

    /// Stores a named session's position before its write is answered.
    pub(super) fn store_position(
        &mut self,
        now: Moment,
        request: RequestId,
        position: LogPosition,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(session) = record.arrival.session.clone() else {
            return self.complete_request(now, request, ResultCode::Done, Some(position));
        };
        let until = now + STORE_TIMEOUT;
        record.phase = RequestPhase::StoringPosition { position, until };
        let group = record.arrival.group.clone();
        self.set_deadline(request, until);
        self.send_position(now, request, StoredPosition { session, group, position });
    }

    /// Sends a position to the session's position hosts.
    pub(super) fn send_position(
        &mut self,
        now: Moment,
        request: RequestId,
        stored: StoredPosition,
    ) {
        let hosts_version = self.control.hosts_version;
        for host in self.position_hosts_of(&stored.session) {
            if host == self.settings.id() {
                self.raise_position(stored.clone());
                self.handle_position_stored(now, request);
            } else {
                let stored = stored.clone();
                self.send(host, PeerMessage::StorePosition { request, stored, hosts_version });
            }
        }
    }

    pub(super) fn handle_store_position(
        &mut self,
        from: HostId,
        request: RequestId,
        stored: StoredPosition,
        hosts_version: u64,
    ) {
        if hosts_version == self.control.hosts_version {
            self.raise_position(stored);
            self.send(from, PeerMessage::PositionStored { request });
        }
    }

    /// Completes the request at the first confirmation. One position host is
    /// enough, because a lookup needs the answers of all of them.
    pub(super) fn handle_position_stored(&mut self, now: Moment, request: RequestId) {
        let phase = self.requests.get(&request).map(|record| record.phase.clone());
        if let Some(RequestPhase::StoringPosition { position, .. }) = phase {
            self.complete_request(now, request, ResultCode::Done, Some(position));
        }
    }
}
