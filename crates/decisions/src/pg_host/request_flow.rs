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

/// Minimum time that a committed write waits for a majority.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(5);
/// Expected wait of reads above which the primary serves some of them too.
const OFFLOAD_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of waiting reads considered for one dispatch.
const READ_SCAN_LIMIT: usize = 64;

/// Status of a committed write that waits for a majority.
enum WriteStatus {
    Held,
    Discarded,
    Waiting,
}

impl HostState {
    pub(super) fn handle_arrival(&mut self, now: Moment, arrival: RequestArrival) {
        let request = arrival.request;
        let session_position = match arrival.position_source {
            PositionSource::Known(position) => Some(position),
            PositionSource::PositionHosts(_) => None,
        };
        let needs_lookup = matches!(arrival.position_source, PositionSource::PositionHosts(_))
            && arrival.kind != RequestKind::Write;
        if let Some(gateways) = self.choose_forward_gateways(&arrival) {
            return self.effects.push(HostEffect::Forward(request, gateways));
        }
        let refusal = self.check_arrival(now, &arrival);
        let deadline = arrival.deadline;
        let record = RequestRecord { arrival, session_position, phase: RequestPhase::Queued };
        self.requests.insert(request, record);
        if let Some(result) = refusal {
            return self.complete_request(now, request, result, None);
        }
        self.set_deadline(request, deadline);
        if needs_lookup {
            self.look_up_position(now, request);
        } else {
            self.enqueue(now, request);
        }
    }

    /// The gateways to forward a request to, if this host is not one of its group's:
    /// those of this data centre first, rotated by the number of the request.
    pub(super) fn choose_forward_gateways(
        &self,
        arrival: &RequestArrival,
    ) -> Option<Vec<GatewayAddress>> {
        let is_gateway = self.groups.get(&arrival.group).is_some_and(|group| !group.retiring);
        if arrival.forwarded || is_gateway {
            return None;
        }
        let record = self.control.groups.get(&arrival.group)?;
        let known = record.gateways.iter().filter_map(|gateway| self.control.hosts.get(gateway));
        let mut gateways: Vec<&HostRecord> = known.collect();
        let rotation = arrival.request.0 as usize % gateways.len().max(1);
        gateways.rotate_left(rotation);
        gateways.sort_by_key(|gateway| gateway.data_centre != self.settings.record.data_centre);
        let address = |gateway: &HostRecord| GatewayAddress {
            host: gateway.id,
            address: gateway.caller_address,
        };
        (!gateways.is_empty()).then(|| gateways.into_iter().map(address).collect())
    }

    fn check_arrival(&self, now: Moment, arrival: &RequestArrival) -> Option<ResultCode> {
        match self.groups.get(&arrival.group) {
            Some(group) if group.retiring => Some(ResultCode::NoDatabase),
            Some(group) if group.waiting_count() >= group.max_waiting => {
                Some(ResultCode::QueueFull)
            }
            Some(group) if self.exceeds_wait_limit(now, group, arrival) => {
                Some(ResultCode::QueueFull)
            }
            Some(_) => None,
            None if self.control.groups.contains_key(&arrival.group) => {
                Some(ResultCode::NoDatabase)
            }
            None => Some(ResultCode::UnknownGroup),
        }
    }

    /// True if the expected wait is more than half of the time to the deadline.
    /// With a longer queue, all requests would be served just before their deadlines
    /// or after them.
    fn exceeds_wait_limit(&self, now: Moment, group: &GroupView, arrival: &RequestArrival) -> bool {
        let wait = group.expected_wait(arrival.kind == RequestKind::Write);
        now + wait * 2 > arrival.deadline
    }

    /// True if the earliest expected answer is after the deadline.
    fn misses_deadline(&self, earliest: Moment, request: RequestId) -> bool {
        let record = self.requests.get(&request);
        record.is_some_and(|record| earliest > record.arrival.deadline)
    }

    /// Queues a request in its group once the lookup of its session's position, if
    /// any, has ended.
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
            // The request returned from a database too late to be sent again.
            let result = self.timeout_result(now, request);
            return self.complete_request(now, request, result, None);
        }
        let Some(group) = self.groups.get_mut(&name) else {
            return self.complete_request(now, request, ResultCode::NoDatabase, None);
        };
        match is_write {
            true => group.writes.push(&caller, request),
            false => group.reads.push(&caller, request),
        }
        self.set_deadline(request, deadline);
        self.dispatch_waiting(now, &name);
    }

    pub(super) fn dispatch_all_waiting(&mut self, now: Moment) {
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.dispatch_waiting(now, &name);
        }
    }

    /// Dispatches waiting requests to databases, writes first.
    pub(super) fn dispatch_waiting(&mut self, now: Moment, name: &GroupName) {
        if !self.has_lease(now) {
            return;
        }
        while self.dispatch_next(now, name, true) {}
        while self.dispatch_next(now, name, false) {}
    }

    /// Dispatches the first waiting request for which a database is free, or ends
    /// one that would miss its deadline. Returns false if there is neither.
    fn dispatch_next(&mut self, now: Moment, name: &GroupName, is_write: bool) -> bool {
        let Some(group) = self.groups.get(name).filter(|group| group.has_free_connection(now))
        else {
            return false;
        };
        // All writes wait for the same database; reads may use different ones.
        let upcoming = match is_write {
            true => group.writes.peek_next(1),
            false => group.reads.peek_next(READ_SCAN_LIMIT),
        };
        let earliest = now + group.min_service_time();
        let too_late = upcoming.iter().find(|request| self.misses_deadline(earliest, **request));
        if let Some(request) = too_late.copied() {
            let result = self.timeout_result(now, request);
            self.complete_request(now, request, result, None);
            return true;
        }
        let offload_to_primary = group.expected_wait(false) > OFFLOAD_WAIT;
        let chosen = upcoming.into_iter().find_map(|request| {
            Some((request, self.choose_for_request(now, group, offload_to_primary, request)?))
        });
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

    fn choose_for_request(
        &self,
        now: Moment,
        group: &GroupView,
        offload_to_primary: bool,
        request: RequestId,
    ) -> Option<DatabaseName> {
        let record = self.requests.get(&request)?;
        let query = RouteQuery {
            now,
            kind: record.arrival.kind,
            offload_to_primary,
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

    pub(super) fn handle_execution(
        &mut self,
        now: Moment,
        request: RequestId,
        report: ExecutionReport,
    ) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let RequestPhase::Running { database, term, since } = record.phase.clone() else {
            return;
        };
        let name = record.arrival.group.clone();
        let kind = record.arrival.kind;
        let transaction = record.arrival.transaction;
        self.release_connection(now, &name, &database, since, report, transaction);
        match report {
            ExecutionReport::Read(position) => {
                self.finish_read(now, request, &name, &database, term, position);
            }
            ExecutionReport::Written(position) => {
                self.await_majority(now, request, &name, position);
            }
            ExecutionReport::RolledBack => {
                self.complete_request(now, request, ResultCode::Done, None);
            }
            ExecutionReport::NotRun => self.enqueue(now, request),
            ExecutionReport::ConnectionLost if kind == RequestKind::Write => {
                self.complete_request(now, request, ResultCode::ConnectionLost, None);
            }
            ExecutionReport::ConnectionLost => self.enqueue(now, request),
        }
        self.dispatch_waiting(now, &name);
    }

    fn release_connection(
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
            // The length of a transaction depends on the caller, not on the database.
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

    /// Completes a read. A read at the primary is valid only if that is still the
    /// primary when the answer is sent; otherwise it is queued again.
    fn finish_read(
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
            return self.complete_request(now, request, ResultCode::NoDatabase, None);
        };
        let at_primary = *database == group.record.primary || term != group.record.term;
        let confirmed = has_lease && group.is_steady() && term == group.record.term;
        if at_primary && !confirmed {
            return self.enqueue(now, request);
        }
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let session_position = position.max(record.session_position);
        let stored = match (&record.arrival.session, record.session_position, session_position) {
            (Some(session), None, Some(position)) => {
                Some(StoredPosition { session: session.clone(), group: name.clone(), position })
            }
            _ => None,
        };
        if let Some(stored) = stored {
            self.send_position(now, request, stored);
        }
        self.complete_request(now, request, ResultCode::Done, session_position);
    }

    fn await_majority(
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
            return self.complete_request(now, request, ResultCode::ReplacedInFlight, None);
        };
        group.unconfirmed.insert(UnconfirmedWrite { position, request });
        self.confirm_writes(now, name);
    }

    /// Answers the committed writes that a majority now holds, and those that were
    /// discarded.
    pub(super) fn confirm_writes(&mut self, now: Moment, name: &GroupName) {
        if !self.has_lease(now) {
            return;
        }
        let Some(group) = self.groups.get_mut(name).filter(|group| group.is_steady()) else {
            return;
        };
        let mut settled = Vec::new();
        for write in &group.unconfirmed {
            match group.write_status(write.position) {
                WriteStatus::Waiting => break,
                WriteStatus::Held => settled.push((*write, true)),
                WriteStatus::Discarded => settled.push((*write, false)),
            }
        }
        for (write, _) in &settled {
            group.unconfirmed.remove(write);
        }
        for (write, held) in settled {
            if held {
                self.store_position(now, write.request, write.position);
            } else {
                self.complete_request(now, write.request, ResultCode::WriteDiscarded, None);
            }
        }
    }

    /// Ends a request whose caller no longer waits. A running one keeps its
    /// connection until its execution is reported.
    pub(super) fn abandon_request(&mut self, now: Moment, request: RequestId) {
        let running = self
            .requests
            .get(&request)
            .is_some_and(|record| matches!(record.phase, RequestPhase::Running { .. }));
        if !running {
            self.complete_request(now, request, ResultCode::Cancelled, None);
        }
    }

    pub(super) fn expire_requests(&mut self, now: Moment) {
        while let Some(deadline) = self.deadlines.first().copied() {
            if deadline.at > now {
                break;
            }
            self.deadlines.pop_first();
            self.expire_request(now, deadline.request);
        }
    }

    fn expire_request(&mut self, now: Moment, request: RequestId) {
        self.record_silent_hosts(now, request);
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
                let result = self.timeout_result(now, request);
                self.complete_request(now, request, result, None);
            }
            RequestPhase::AwaitingMajority { .. } if deadline <= now => {
                self.complete_request(now, request, ResultCode::MajorityLate, None);
            }
            RequestPhase::StoringPosition { until, .. } if *until <= now => {
                self.complete_request(now, request, ResultCode::MarkNotStored, None);
            }
            _ => {}
        }
    }

    /// The result code of a request that waited too long.
    fn timeout_result(&self, now: Moment, request: RequestId) -> ResultCode {
        let group =
            self.requests.get(&request).and_then(|record| self.groups.get(&record.arrival.group));
        match group {
            _ if !self.has_lease(now) => ResultCode::LeaseExpired,
            Some(group) if !group.is_steady() => ResultCode::PrimaryReplaced,
            _ => ResultCode::DeadlinePassed,
        }
    }

    /// Removes a request from this host and from its group's queues.
    pub(super) fn remove_request(&mut self, request: RequestId) -> Option<RequestRecord> {
        let record = self.requests.remove(&request)?;
        if let Some(group) = self.groups.get_mut(&record.arrival.group) {
            group.remove_request(request, &record);
        }
        Some(record)
    }

    /// Removes a request and emits its result as `HostEffect::Complete`.
    pub(super) fn complete_request(
        &mut self,
        _now: Moment,
        request: RequestId,
        result: ResultCode,
        session_position: Option<LogPosition>,
    ) {
        let Some(record) = self.remove_request(request) else {
            return;
        };
        let mut retry_after = None;
        if let Some(group) = self.groups.get(&record.arrival.group)
            && result == ResultCode::QueueFull
        {
            let is_write = record.arrival.kind == RequestKind::Write;
            retry_after = Some(group.expected_wait(is_write));
        }
        let result = RequestResult { result, session_position, retry_after };
        self.effects.push(HostEffect::Complete(request, result));
    }
}

impl GroupView {
    fn write_status(&self, position: LogPosition) -> WriteStatus {
        if position.term == self.record.term {
            return match self.is_held_by_majority(position) {
                true => WriteStatus::Held,
                false => WriteStatus::Waiting,
            };
        }
        // The write was sent to a primary that has been replaced since. Its outcome
        // is certain only once a majority holds an entry of the new term: before
        // that, another change of primary could still choose a different branch.
        let Some(status) = self.settled_primary_status() else {
            return WriteStatus::Waiting;
        };
        match status.covers(position) {
            true => WriteStatus::Held,
            false => WriteStatus::Discarded,
        }
    }

    /// The primary's report, if a majority holds an entry of its term.
    fn settled_primary_status(&self) -> Option<&DatabaseStatus> {
        let view = self.databases.get(&self.record.primary)?;
        let status = &view.observed.as_ref()?.status;
        let starts = status.history.starts();
        let start = starts.iter().find(|start| start.term == self.record.term)?;
        let first = LogPosition::new(start.term, start.base_offset + 1);
        let written = status.term == self.record.term && status.covers(first);
        (written && self.is_held_by_majority(first)).then_some(status)
    }

    fn remove_request(&mut self, request: RequestId, record: &RequestRecord) {
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
