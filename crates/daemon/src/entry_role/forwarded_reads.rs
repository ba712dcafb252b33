use std::{io, rc::Rc, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    clock::Moment,
    entry_role::SessionState,
    positions::LogPosition,
    routes::{RouteKind, RouteRule},
};

use super::{
    caller_reply::{CUT_OFF_HINT, CallerReply},
    caller_session::CallerSession,
    entry_shared::EntryShared,
    forward_task::FORWARD_TIMEOUT,
    pool_overload::retry_hint,
};
use crate::edges::{
    CallerRefusal, CallerStatement, ForwardUrgency, ForwardedCommand, StatementAction, UpstreamCode,
};

/// A connection over which another host sends reads of a service. This host, a gateway
/// of the service, chooses the database for each of them as for its own callers: it
/// sees far more of the service's statements than the other host, and so knows better
/// where the primary is in its log, which replicas follow it and which are slow.
pub(super) struct ForwardedReads {
    shared: Rc<EntryShared>,
    service: Arc<str>,
    session: CallerSession,
}

impl ForwardedReads {
    pub(super) fn new(shared: &Rc<EntryShared>, service: Arc<str>) -> Self {
        let session = CallerSession::new(shared, service.clone(), shared.now());
        Self { shared: shared.clone(), service, session }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.session.is_idle()
    }

    /// Runs a command and appends the answer.
    ///
    /// # Errors
    /// If the read got no answer, or if the command is not one of a read: the
    /// connection is then closed.
    pub(super) async fn run_command(
        &mut self,
        command: ForwardedCommand,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        let reply = match command {
            ForwardedCommand::Urgency(urgency) => return self.set_urgency(urgency),
            ForwardedCommand::Reset if self.is_idle() => {
                self.session.state = SessionState::default();
                CallerReply::Done
            }
            ForwardedCommand::Begin { read_only: true, after } if self.is_idle() => {
                self.session.state.last_commit = after;
                let route = self.session.forwarded_route.clone();
                let route = route.ok_or(io::ErrorKind::InvalidData)?;
                let reply = self.session.begin_forwarded_read(&route).await;
                // The time left was that of the first statement; the other host ends
                // the later ones by the timeout of its route.
                let route = RouteRule { timeout: FORWARD_TIMEOUT, ..(*route).clone() };
                self.session.forwarded_route = Some(Arc::new(route));
                reply
            }
            ForwardedCommand::Statement { after, statement } => {
                self.run_statement(after, &statement).await?
            }
            ForwardedCommand::Open { .. }
            | ForwardedCommand::Reset
            | ForwardedCommand::Begin { .. } => return Err(io::ErrorKind::InvalidData.into()),
        };
        self.encode_reply(out, reply)
    }

    async fn run_statement(
        &mut self,
        after: Option<LogPosition>,
        statement: &CallerStatement,
    ) -> io::Result<CallerReply> {
        let begins = matches!(statement.action, StatementAction::Begin { .. });
        // In a transaction, which only reads, the database refuses a write itself.
        let writes = self.is_idle() && self.session.is_write(statement);
        if begins || writes || self.session.forwarded_route.is_none() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if self.is_idle() {
            self.session.state.last_commit = after;
        }
        Ok(self.session.run(statement).await)
    }

    /// Prepares for the read to which the urgency belongs.
    fn set_urgency(&mut self, urgency: ForwardUrgency) -> io::Result<()> {
        let Some(terms) = urgency.read else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let arrived: Moment = self.shared.now() - urgency.waited;
        self.session.set_arrival(arrived);
        self.session.forwarded_route = Some(Arc::new(RouteRule {
            name: self.service.clone(),
            database: self.service.clone(),
            path: self.service.clone(),
            kind: RouteKind::ReadYourWrites { max_age: terms.max_age },
            timeout: terms.time_left.max(Duration::from_millis(1)),
            objective: urgency.objective,
            priority: urgency.priority,
            service: self.service.clone(),
            anonymous: false,
        }));
        self.session.caller.workspace = urgency.workspace;
        Ok(())
    }

    fn encode_reply(&self, out: &mut Vec<u8>, reply: CallerReply) -> io::Result<()> {
        let callers = &self.shared.callers;
        match reply {
            CallerReply::Done => callers.encode_done(out),
            CallerReply::Relayed { body, .. } => out.extend_from_slice(&body),
            CallerReply::RefusedFor(reason, retry_after) => {
                let hint = retry_hint(reason, retry_after);
                callers.encode_refusal(out, CallerRefusal::NotRun, &hint);
            }
            CallerReply::Refused(CallerRefusal::NotRun, CUT_OFF_HINT) => {
                self.shared.upstreams.encode_forward_refusal(out, UpstreamCode::Misrouted);
            }
            CallerReply::Refused(refusal, hint) => match refusal {
                CallerRefusal::NotRun | CallerRefusal::Aborted => {
                    callers.encode_refusal(out, refusal, hint);
                }
                // The other host has time left to try elsewhere.
                CallerRefusal::InDoubt | CallerRefusal::TimedOut => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                CallerRefusal::UnknownDatabase
                | CallerRefusal::UnknownKey
                | CallerRefusal::Malformed
                | CallerRefusal::UnknownStatement => {
                    return Err(io::ErrorKind::InvalidData.into());
                }
            },
        }
        callers.encode_ready(out, self.session.phase(), self.session.position);
        Ok(())
    }
}
