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

/// Time that keepers get to answer before the primary is asked instead.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a keeper that did not answer is not waited for.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);
/// Time that keepers get to store a mark.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl HostState {
    fn keepers(&self, session: &SessionId) -> Vec<HostId> {
        session_position_hosts(session, self.control.hosts.keys().copied())
    }

    /// Asks all keepers of the request's session for its mark.
    pub(super) fn look_up_mark(&mut self, now: Moment, request: RequestId) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(session) = record.arrival.session.clone() else {
            return self.enqueue(now, request);
        };
        let group = record.arrival.group.clone();
        let floor = match record.arrival.position_source {
            PositionSource::Known(mark) | PositionSource::PositionHosts(mark) => mark,
        };
        let until = now + LOOKUP_TIMEOUT;
        let keepers = self.keepers(&session);
        if let Some(record) = self.requests.get_mut(&request) {
            record.phase = RequestPhase::LookingUpPosition {
                waiting: keepers.iter().copied().collect(),
                found: Some(floor),
                until,
            };
        }
        self.set_deadline(request, until);
        self.silent_keepers.retain(|_, until| *until > now);
        let silent = keepers.iter().any(|keeper| self.silent_keepers.contains_key(keeper));
        let hosts_version = self.control.hosts_version;
        for keeper in keepers {
            let query = PositionQuery {
                request,
                session: session.clone(),
                group: group.clone(),
                hosts_version,
            };
            if keeper == self.settings.id() {
                let mark = self.find_mark(&query);
                self.mark_answered(now, keeper, PositionAnswer { request, position: mark });
            } else {
                self.send(keeper, PeerMessage::PositionQuery(query));
            }
        }
        if silent {
            self.skip_lookup(now, request);
        }
    }

    /// Notes the keepers that a lookup waited for in vain. Until they answer
    /// again, or some time has passed, nobody waits for them.
    pub(super) fn note_late_lookup(&mut self, now: Moment, request: RequestId) {
        let phase = self.requests.get(&request).map(|record| record.phase.clone());
        if let Some(RequestPhase::LookingUpPosition { waiting, until, .. }) = phase
            && until <= now
        {
            let until = now + SILENCE_MEMORY;
            self.silent_keepers.extend(waiting.into_iter().map(|keeper| (keeper, until)));
        }
    }

    /// Ends a lookup that cannot succeed: the primary is asked.
    fn skip_lookup(&mut self, now: Moment, request: RequestId) {
        if let Some(record) = self.requests.get_mut(&request)
            && matches!(record.phase, RequestPhase::LookingUpPosition { .. })
        {
            record.session_position = None;
            self.enqueue(now, request);
        }
    }

    fn find_mark(&self, query: &PositionQuery) -> Option<LogPosition> {
        if query.hosts_version != self.control.hosts_version {
            return None;
        }
        self.marks.find(&query.session, &query.group)
    }

    fn keep_mark(&mut self, stored: StoredPosition) {
        let keepers = self.keepers(&stored.session);
        self.marks.raise(stored, &keepers);
    }

    pub(super) fn mark_asked(&mut self, from: HostId, query: PositionQuery) {
        let mark = self.find_mark(&query);
        let answer = PositionAnswer { request: query.request, position: mark };
        self.send(from, PeerMessage::PositionAnswer(answer));
    }

    pub(super) fn mark_answered(&mut self, now: Moment, from: HostId, answer: PositionAnswer) {
        self.silent_keepers.remove(&from);
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
            (Some(highest), Some(mark)) => Some(highest.max(mark)),
            _ => None,
        };
        if waiting.is_empty() || found.is_none() {
            record.session_position = *found;
            self.enqueue(now, request);
        }
    }

    /// Stores a named session's mark before its write is answered.
    pub(super) fn store_mark(&mut self, now: Moment, request: RequestId, mark: LogPosition) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(session) = record.arrival.session.clone() else {
            return self.conclude(now, request, ResultCode::Done, Some(mark));
        };
        let until = now + STORE_TIMEOUT;
        record.phase = RequestPhase::StoringPosition { position: mark, until };
        let group = record.arrival.group.clone();
        self.set_deadline(request, until);
        self.send_mark(now, request, StoredPosition { session, group, position: mark });
    }

    /// Hands a mark to the session's keepers.
    pub(super) fn send_mark(&mut self, now: Moment, request: RequestId, stored: StoredPosition) {
        let hosts_version = self.control.hosts_version;
        for keeper in self.keepers(&stored.session) {
            if keeper == self.settings.id() {
                self.keep_mark(stored.clone());
                self.mark_stored(now, request);
            } else {
                let stored = stored.clone();
                self.send(keeper, PeerMessage::StorePosition { request, stored, hosts_version });
            }
        }
    }

    pub(super) fn mark_received(
        &mut self,
        from: HostId,
        request: RequestId,
        stored: StoredPosition,
        hosts_version: u64,
    ) {
        if hosts_version == self.control.hosts_version {
            self.keep_mark(stored);
            self.send(from, PeerMessage::PositionStored { request });
        }
    }

    /// One keeper is enough: a lookup needs the word of all of them.
    pub(super) fn mark_stored(&mut self, now: Moment, request: RequestId) {
        let phase = self.requests.get(&request).map(|record| record.phase.clone());
        if let Some(RequestPhase::StoringPosition { position: mark, .. }) = phase {
            self.conclude(now, request, ResultCode::Done, Some(mark));
        }
    }
}
