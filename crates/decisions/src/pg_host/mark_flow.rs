use std::time::Duration;

use super::{HostState, MarkAnswer, MarkQuery, PeerMessage};
use crate::{
    clock::Moment,
    identity::{HostId, RequestId, SessionId},
    outcomes::ResultCode,
    positions::LogPosition,
    requests::{MarkSource, RequestPhase},
    sessions::{StoredMark, session_keepers},
};

/// Time that keepers get to answer before the primary is asked instead.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a keeper that did not answer is not waited for.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);
/// Time that keepers get to store a mark.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl HostState {
    fn keepers(&self, session: &SessionId) -> Vec<HostId> {
        session_keepers(session, self.control.hosts.keys().copied())
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
        let floor = match record.arrival.mark {
            MarkSource::Known(mark) | MarkSource::Keepers(mark) => mark,
        };
        let until = now + LOOKUP_TIMEOUT;
        let keepers = self.keepers(&session);
        if let Some(record) = self.requests.get_mut(&request) {
            record.phase = RequestPhase::LookingUp {
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
            let query = MarkQuery {
                request,
                session: session.clone(),
                group: group.clone(),
                hosts_version,
            };
            if keeper == self.settings.id() {
                let mark = self.find_mark(&query);
                self.mark_answered(now, keeper, MarkAnswer { request, mark });
            } else {
                self.send(keeper, PeerMessage::MarkQuery(query));
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
        if let Some(RequestPhase::LookingUp { waiting, until, .. }) = phase
            && until <= now
        {
            let until = now + SILENCE_MEMORY;
            self.silent_keepers.extend(waiting.into_iter().map(|keeper| (keeper, until)));
        }
    }

    /// Ends a lookup that cannot succeed: the primary is asked.
    fn skip_lookup(&mut self, now: Moment, request: RequestId) {
        if let Some(record) = self.requests.get_mut(&request)
            && matches!(record.phase, RequestPhase::LookingUp { .. })
        {
            record.mark = None;
            self.enqueue(now, request);
        }
    }

    fn find_mark(&self, query: &MarkQuery) -> Option<LogPosition> {
        if query.hosts_version != self.control.hosts_version {
            return None;
        }
        self.marks.find(&query.session, &query.group)
    }

    fn keep_mark(&mut self, stored: StoredMark) {
        let keepers = self.keepers(&stored.session);
        self.marks.raise(stored, &keepers);
    }

    pub(super) fn mark_asked(&mut self, from: HostId, query: MarkQuery) {
        let mark = self.find_mark(&query);
        let answer = MarkAnswer { request: query.request, mark };
        self.send(from, PeerMessage::MarkAnswer(answer));
    }

    pub(super) fn mark_answered(&mut self, now: Moment, from: HostId, answer: MarkAnswer) {
        self.silent_keepers.remove(&from);
        let request = answer.request;
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let RequestPhase::LookingUp { waiting, found, .. } = &mut record.phase else {
            return;
        };
        if !waiting.remove(&from) {
            return;
        }
        *found = match (*found, answer.mark) {
            (Some(highest), Some(mark)) => Some(highest.max(mark)),
            _ => None,
        };
        if waiting.is_empty() || found.is_none() {
            record.mark = *found;
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
        record.phase = RequestPhase::StoringMark { mark, until };
        let group = record.arrival.group.clone();
        self.set_deadline(request, until);
        self.send_mark(now, request, StoredMark { session, group, mark });
    }

    /// Hands a mark to the session's keepers.
    pub(super) fn send_mark(&mut self, now: Moment, request: RequestId, stored: StoredMark) {
        let hosts_version = self.control.hosts_version;
        for keeper in self.keepers(&stored.session) {
            if keeper == self.settings.id() {
                self.keep_mark(stored.clone());
                self.mark_stored(now, request);
            } else {
                let stored = stored.clone();
                self.send(keeper, PeerMessage::MarkStore { request, stored, hosts_version });
            }
        }
    }

    pub(super) fn mark_received(
        &mut self,
        from: HostId,
        request: RequestId,
        stored: StoredMark,
        hosts_version: u64,
    ) {
        if hosts_version == self.control.hosts_version {
            self.keep_mark(stored);
            self.send(from, PeerMessage::MarkStored { request });
        }
    }

    /// One keeper is enough: a lookup needs the word of all of them.
    pub(super) fn mark_stored(&mut self, now: Moment, request: RequestId) {
        let phase = self.requests.get(&request).map(|record| record.phase.clone());
        if let Some(RequestPhase::StoringMark { mark, .. }) = phase {
            self.conclude(now, request, ResultCode::Done, Some(mark));
        }
    }
}
