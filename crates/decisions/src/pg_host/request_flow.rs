use std::time::Duration;

use super::{
    ExecutionReport, GatewayAddress, GroupView, HostEffect, HostState, RequestResult,
    UnconfirmedWrite,
};
use crate::{
    clock::Moment,
    control_state::HostRecord,
    directory::DatabaseStatus,
    identity::{DatabaseName, GroupName, RequestId},
    outcomes::ResultCode,
    positions::LogPosition,
    requests::{PositionSource, RequestArrival, RequestKind, RequestPhase, RequestRecord},
    routing::{DatabaseChoice, RouteQuery, choose_database},
    sessions::StoredPosition,
};

/// Shortest time that a committed write waits for a majority.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(5);
/// Expected wait of reads from which on the primary helps out.
const CROWDED_WAIT: Duration = Duration::from_millis(20);
/// Waiting reads looked at in one go.
const READ_SCAN: usize = 64;

/// What the group says of a write that waits for a majority.
enum WriteStanding {
    Held,
    Discarded,
    Waiting,
}

impl HostState {
    pub(super) fn arrived(&mut self, now: Moment, arrival: RequestArrival) {
        let request = arrival.request;
        let mark = match arrival.position_source {
            PositionSource::Known(mark) => Some(mark),
            PositionSource::PositionHosts(_) => None,
        };
        let asks_keepers = matches!(arrival.position_source, PositionSource::PositionHosts(_))
            && arrival.kind != RequestKind::Write;
        if let Some(homes) = self.forward_homes(&arrival) {
            return self.effects.push(HostEffect::Forward(request, homes));
        }
        let refusal = self.check_arrival(now, &arrival);
        let deadline = arrival.deadline;
        let record = RequestRecord { arrival, session_position: mark, phase: RequestPhase::Queued };
        self.requests.insert(request, record);
        if let Some(result) = refusal {
            return self.conclude(now, request, result, None);
        }
        self.set_deadline(request, deadline);
        if asks_keepers {
            self.look_up_mark(now, request);
        } else {
            self.enqueue(now, request);
        }
    }

    /// The homes of a group that this host is no home of, those of its own data
    /// centre first, each request beginning with another one.
    pub(super) fn forward_homes(&self, arrival: &RequestArrival) -> Option<Vec<GatewayAddress>> {
        let is_home = self.groups.get(&arrival.group).is_some_and(|group| !group.retiring);
        if arrival.forwarded || is_home {
            return None;
        }
        let record = self.control.groups.get(&arrival.group)?;
        let known = record.gateways.iter().filter_map(|home| self.control.hosts.get(home));
        let mut homes: Vec<&HostRecord> = known.collect();
        let turn = arrival.request.0 as usize % homes.len().max(1);
        homes.rotate_left(turn);
        homes.sort_by_key(|home| home.data_centre != self.settings.record.data_centre);
        let address =
            |home: &HostRecord| GatewayAddress { host: home.id, address: home.caller_address };
        (!homes.is_empty()).then(|| homes.into_iter().map(address).collect())
    }

    fn check_arrival(&self, now: Moment, arrival: &RequestArrival) -> Option<ResultCode> {
        match self.groups.get(&arrival.group) {
            Some(group) if group.retiring => Some(ResultCode::NoDatabase),
            Some(group) if group.waiting_count() >= group.max_waiting => {
                Some(ResultCode::QueueFull)
            }
            Some(group) if self.would_be_late(now, group, arrival) => Some(ResultCode::QueueFull),
            Some(_) => None,
            None if self.control.groups.contains_key(&arrival.group) => {
                Some(ResultCode::NoDatabase)
            }
            None => Some(ResultCode::UnknownGroup),
        }
    }

    /// True if waiting would use up more than half of the request's time. A
    /// longer queue would serve everybody just before the deadline, or after.
    fn would_be_late(&self, now: Moment, group: &GroupView, arrival: &RequestArrival) -> bool {
        let wait = group.expected_wait(arrival.kind == RequestKind::Write);
        now + wait * 2 > arrival.deadline
    }

    /// True if the earliest answer that can be expected is past the deadline.
    fn is_hopeless(&self, earliest: Moment, request: RequestId) -> bool {
        let record = self.requests.get(&request);
        record.is_some_and(|record| earliest > record.arrival.deadline)
    }

    /// Puts a request whose mark is settled into its group's queue.
    pub(super) fn enqueue(&mut self, now: Moment, request: RequestId) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::Queued;
        let name = record.arrival.group.clone();
        let deadline = record.arrival.deadline;
        let is_write = record.arrival.kind == RequestKind::Write;
        let caller = record.arrival.caller.clone();
        if deadline <= now {
            // It came back from a database too late to be sent again.
            let result = self.late_result(now, request);
            return self.conclude(now, request, result, None);
        }
        let Some(group) = self.groups.get_mut(&name) else {
            return self.conclude(now, request, ResultCode::NoDatabase, None);
        };
        match is_write {
            true => group.writes.push(&caller, request),
            false => group.reads.push(&caller, request),
        }
        self.set_deadline(request, deadline);
        self.pump(now, &name);
    }

    pub(super) fn pump_all(&mut self, now: Moment) {
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.pump(now, &name);
        }
    }

    /// Sends waiting requests to databases, writes first.
    pub(super) fn pump(&mut self, now: Moment, name: &GroupName) {
        if !self.has_lease(now) {
            return;
        }
        while self.serve_next(now, name, true) {}
        while self.serve_next(now, name, false) {}
    }

    /// Sends the first waiting request for which a database is free.
    fn serve_next(&mut self, now: Moment, name: &GroupName, is_write: bool) -> bool {
        let Some(group) = self.groups.get(name).filter(|group| group.has_free_connection(now))
        else {
            return false;
        };
        // Writes all wait for the same database; reads need not.
        let upcoming = match is_write {
            true => group.writes.peek_next(1),
            false => group.reads.peek_next(READ_SCAN),
        };
        let earliest = now + group.min_service_time();
        let hopeless = upcoming.iter().find(|request| self.is_hopeless(earliest, **request));
        if let Some(request) = hopeless.copied() {
            let result = self.late_result(now, request);
            self.conclude(now, request, result, None);
            return true;
        }
        let crowded = group.expected_wait(false) > CROWDED_WAIT;
        let chosen = upcoming
            .into_iter()
            .find_map(|request| Some((request, self.choose(now, group, crowded, request)?)));
        let Some((request, database)) = chosen else {
            return false;
        };
        let caller = self.requests.get(&request).map(|record| record.arrival.caller.clone());
        if let (Some(group), Some(caller)) = (self.groups.get_mut(name), caller) {
            match is_write {
                true => group.writes.dequeue(&caller, request),
                false => group.reads.dequeue(&caller, request),
            }
        }
        self.dispatch(now, name, request, database);
        true
    }

    fn choose(
        &self,
        now: Moment,
        group: &GroupView,
        crowded: bool,
        request: RequestId,
    ) -> Option<DatabaseName> {
        let record = self.requests.get(&request)?;
        let query = RouteQuery {
            now,
            kind: record.arrival.kind,
            offload_to_primary: crowded,
            transaction: record.arrival.transaction,
            position: record.session_position,
            primary: group.confirmed_primary(),
            term: group.record.term,
            data_centre: &self.settings.record.data_centre,
            samples: &group.samples,
        };
        match choose_database(&query, group.databases.values()) {
            DatabaseChoice::Use(database) => Some(database),
            DatabaseChoice::Wait => None,
        }
    }

    fn dispatch(
        &mut self,
        now: Moment,
        name: &GroupName,
        request: RequestId,
        database: DatabaseName,
    ) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(view) = group.databases.get_mut(&database) else {
            return;
        };
        view.in_use += 1;
        let transaction = self.requests.get(&request).is_some_and(|r| r.arrival.transaction);
        view.pending_statements += u32::from(!transaction);
        let address = view.record.address;
        let is_primary = database == group.record.primary;
        let term = group.record.term;
        if let Some(record) = self.requests.get_mut(&request) {
            record.phase = RequestPhase::Running { database: database.clone(), term, since: now };
        }
        self.effects.push(HostEffect::Dispatch { request, database, address, is_primary });
    }

    pub(super) fn executed(&mut self, now: Moment, request: RequestId, report: ExecutionReport) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestPhase::Running { database, term, since } = record.phase.clone() else {
            return;
        };
        let name = record.arrival.group.clone();
        let kind = record.arrival.kind;
        let transaction = record.arrival.transaction;
        self.release(now, &name, &database, since, report, transaction);
        match report {
            ExecutionReport::Read(position) => {
                self.read_done(now, request, &name, &database, term, position);
            }
            ExecutionReport::Written(position) => self.written(now, request, &name, position),
            ExecutionReport::RolledBack => {
                self.conclude(now, request, ResultCode::Done, None);
            }
            ExecutionReport::NotRun => self.enqueue(now, request),
            ExecutionReport::ConnectionLost if kind == RequestKind::Write => {
                self.conclude(now, request, ResultCode::ConnectionLost, None);
            }
            ExecutionReport::ConnectionLost => self.enqueue(now, request),
        }
        self.pump(now, &name);
    }

    fn release(
        &mut self,
        now: Moment,
        name: &GroupName,
        database: &DatabaseName,
        since: Moment,
        report: ExecutionReport,
        transaction: bool,
    ) {
        let view = self.groups.get_mut(name).and_then(|g| g.databases.get_mut(database));
        let Some(view) = view else {
            return;
        };
        view.in_use = view.in_use.saturating_sub(1);
        view.pending_statements = view.pending_statements.saturating_sub(u32::from(!transaction));
        match report {
            // How long a transaction lasts is the caller's doing.
            ExecutionReport::Read(_)
            | ExecutionReport::Written(_)
            | ExecutionReport::RolledBack
                if transaction => {}
            ExecutionReport::Read(_)
            | ExecutionReport::Written(_)
            | ExecutionReport::RolledBack => {
                view.record_success(now.since(since));
            }
            ExecutionReport::NotRun | ExecutionReport::ConnectionLost => view.record_failure(now),
        }
    }

    /// A read at the primary counts only if that is still the primary when the
    /// answer goes out; otherwise it is served again.
    fn read_done(
        &mut self,
        now: Moment,
        request: RequestId,
        name: &GroupName,
        database: &DatabaseName,
        term: u64,
        position: Option<LogPosition>,
    ) {
        let has_lease = self.has_lease(now);
        let Some(group) = self.groups.get(name) else {
            return self.conclude(now, request, ResultCode::NoDatabase, None);
        };
        let at_primary = *database == group.record.primary || term != group.record.term;
        let confirmed = has_lease && group.is_steady() && term == group.record.term;
        if at_primary && !confirmed {
            return self.enqueue(now, request);
        }
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let mark = position.max(record.session_position);
        let stored = match (&record.arrival.session, record.session_position, mark) {
            (Some(session), None, Some(mark)) => Some(StoredPosition {
                session: session.clone(),
                group: name.clone(),
                position: mark,
            }),
            _ => None,
        };
        if let Some(stored) = stored {
            self.send_mark(now, request, stored);
        }
        self.conclude(now, request, ResultCode::Done, mark);
    }

    fn written(
        &mut self,
        now: Moment,
        request: RequestId,
        name: &GroupName,
        position: LogPosition,
    ) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        record.phase = RequestPhase::AwaitingMajority { position };
        let deadline = record.arrival.deadline.max(now + MAJORITY_TIMEOUT);
        record.arrival.deadline = deadline;
        self.set_deadline(request, deadline);
        let Some(group) = self.groups.get_mut(name) else {
            return self.conclude(now, request, ResultCode::ReplacedInFlight, None);
        };
        group.unconfirmed.insert(UnconfirmedWrite { position, request });
        self.confirm_writes(now, name);
    }

    /// Answers the writes that a majority holds by now.
    pub(super) fn confirm_writes(&mut self, now: Moment, name: &GroupName) {
        if !self.has_lease(now) {
            return;
        }
        let Some(group) = self.groups.get_mut(name).filter(|group| group.is_steady()) else {
            return;
        };
        let mut settled = Vec::new();
        for write in &group.unconfirmed {
            match group.write_standing(write.position) {
                WriteStanding::Waiting => break,
                WriteStanding::Held => settled.push((*write, true)),
                WriteStanding::Discarded => settled.push((*write, false)),
            }
        }
        for (write, _) in &settled {
            group.unconfirmed.remove(write);
        }
        for (write, held) in settled {
            if held {
                self.store_mark(now, write.request, write.position);
            } else {
                self.conclude(now, write.request, ResultCode::WriteDiscarded, None);
            }
        }
    }

    /// Ends a request whose caller is gone. A running one keeps its connection
    /// until its execution is reported.
    pub(super) fn abandoned(&mut self, now: Moment, request: RequestId) {
        let running = self
            .requests
            .get(&request)
            .is_some_and(|record| matches!(record.phase, RequestPhase::Running { .. }));
        if !running {
            self.conclude(now, request, ResultCode::Cancelled, None);
        }
    }

    pub(super) fn expire_requests(&mut self, now: Moment) {
        while let Some(deadline) = self.deadlines.first().copied() {
            if deadline.at > now {
                break;
            }
            self.deadlines.pop_first();
            self.expire(now, deadline.request);
        }
    }

    fn expire(&mut self, now: Moment, request: RequestId) {
        self.note_late_lookup(now, request);
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let deadline = record.arrival.deadline;
        match &record.phase {
            RequestPhase::LookingUpPosition { until, .. } if *until <= now => {
                record.session_position = None;
                self.enqueue(now, request);
            }
            RequestPhase::Queued if deadline <= now => {
                let result = self.late_result(now, request);
                self.conclude(now, request, result, None);
            }
            RequestPhase::AwaitingMajority { .. } if deadline <= now => {
                self.conclude(now, request, ResultCode::MajorityLate, None);
            }
            RequestPhase::StoringPosition { until, .. } if *until <= now => {
                self.conclude(now, request, ResultCode::MarkNotStored, None);
            }
            _ => {}
        }
    }

    /// Why a request waited too long.
    fn late_result(&self, now: Moment, request: RequestId) -> ResultCode {
        let group =
            self.requests.get(&request).and_then(|record| self.groups.get(&record.arrival.group));
        match group {
            _ if !self.has_lease(now) => ResultCode::LeaseExpired,
            Some(group) if !group.is_steady() => ResultCode::PrimaryReplaced,
            _ => ResultCode::DeadlinePassed,
        }
    }

    /// Takes a request out of its group's books.
    pub(super) fn forget(&mut self, request: RequestId) -> Option<RequestRecord> {
        let record = self.requests.remove(&request)?;
        if let Some(group) = self.groups.get_mut(&record.arrival.group) {
            group.forget(request, &record);
        }
        Some(record)
    }

    /// Ends a request and forgets it.
    pub(super) fn conclude(
        &mut self,
        _now: Moment,
        request: RequestId,
        result: ResultCode,
        mark: Option<LogPosition>,
    ) {
        let Some(record) = self.forget(request) else {
            return;
        };
        let mut retry_after = None;
        if let Some(group) = self.groups.get(&record.arrival.group)
            && result == ResultCode::QueueFull
        {
            let is_write = record.arrival.kind == RequestKind::Write;
            retry_after = Some(group.expected_wait(is_write));
        }
        let conclusion = RequestResult { result, session_position: mark, retry_after };
        self.effects.push(HostEffect::Complete(request, conclusion));
    }
}

impl GroupView {
    fn write_standing(&self, position: LogPosition) -> WriteStanding {
        if position.term == self.record.term {
            return match self.is_held_by_majority(position) {
                true => WriteStanding::Held,
                false => WriteStanding::Waiting,
            };
        }
        // The write was sent to a primary that was replaced since. What becomes
        // of it is certain only once a majority holds an entry of the new term:
        // before that a further change could still choose another branch.
        let Some(status) = self.settled_status() else {
            return WriteStanding::Waiting;
        };
        match status.covers(position) {
            true => WriteStanding::Held,
            false => WriteStanding::Discarded,
        }
    }

    /// The primary's report, if a majority holds an entry of its term.
    fn settled_status(&self) -> Option<&DatabaseStatus> {
        let view = self.databases.get(&self.record.primary)?;
        let status = &view.observed.as_ref()?.status;
        let starts = status.history.starts();
        let start = starts.iter().find(|start| start.term == self.record.term)?;
        let first = LogPosition::new(start.term, start.base_offset + 1);
        let written = status.term == self.record.term && status.covers(first);
        (written && self.is_held_by_majority(first)).then_some(status)
    }

    fn forget(&mut self, request: RequestId, record: &RequestRecord) {
        let caller = &record.arrival.caller;
        match &record.phase {
            RequestPhase::Queued => {
                self.writes.remove(caller, request);
                self.reads.remove(caller, request);
            }
            RequestPhase::AwaitingMajority { position } => {
                self.unconfirmed.remove(&UnconfirmedWrite { position: *position, request });
            }
            _ => {}
        }
    }
}
