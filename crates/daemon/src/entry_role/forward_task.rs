use std::{io, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornstack_decisions::{
    entry_role::{QueueForecast, QueuedStatement, SessionState},
    instances::InstanceRecord,
    positions::LogPosition,
};
use tokio::{net::TcpStream, time::Instant};

use super::{
    entry_shared::EntryShared,
    forwarded_reads::ForwardedReads,
    pool_overload::{OVERLOADED, retry_hint},
    request_trace::RequestTrace,
    statement_run::{
        AssignedConnection, encode_begin, encode_statement, run_exchange, spawn_rollback,
    },
    upstream_link::UpstreamAnswer,
};
use crate::{
    edges::{
        CallerRefusal, CallerStatement, ForwardUrgency, ForwardedCommand, SessionPhase,
        StatementAction, UpstreamCode,
    },
    links::{LineStream, prepare_socket},
};

/// Time for which a forwarded statement waits for a connection at its gateway; the
/// forwarding host retries refused statements until their own deadline.
const FORWARD_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a forwarded statement at the database; the forwarding host usually
/// ends it sooner, by the timeout of its route.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that sent data may stay unacknowledged before the connection of another
/// host counts as lost.
const FORWARD_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Urgency of a statement for which the forwarding host sent none.
const DEFAULT_URGENCY: ForwardUrgency = ForwardUrgency {
    priority: 1,
    objective: FORWARD_CONNECT_TIMEOUT,
    waited: Duration::ZERO,
    read: None,
    workspace: None,
};

/// Runs statements that another entry host forwards for a database of which this
/// host is a gateway.
pub(super) async fn serve_forwards(shared: Rc<EntryShared>, stream: TcpStream) {
    if prepare_socket(&stream, FORWARD_ACK_TIMEOUT).is_err() {
        return;
    }
    let mut lines = LineStream::new(stream);
    let cancel = shared.cancel.clone();
    let served = cancel.run_until_cancelled(run_forwards(&shared, &mut lines)).await;
    if let Some(Err(error)) = served {
        tracing::debug!(
            target: "entry",
            %error,
            "connection from an entry host failed; an open transaction is rolled back"
        );
    }
}

async fn run_forwards(shared: &Rc<EntryShared>, lines: &mut LineStream) -> io::Result<()> {
    let Some(line) = lines.next_line().await? else {
        return Ok(());
    };
    let mut out = Vec::new();
    let Some(mut link) = open_forward(shared, &line) else {
        shared.upstreams.encode_forward_refusal(&mut out, UpstreamCode::Misrouted);
        return lines.send(&out).await;
    };
    shared.callers.encode_ready(&mut out, SessionPhase::Idle, None);
    lines.send(&out).await?;
    while let Some(line) = read_command(shared, lines, link.is_idle()).await? {
        out.clear();
        let command = shared.upstreams.decode_forwarded(&line).map_err(io::Error::other)?;
        link.run_command(command, lines, &mut out).await?;
        // Statements that restore the session arrive together with the statement
        // that needs them; all are answered at once.
        while let Some(line) = lines.take_buffered_line()? {
            let command = shared.upstreams.decode_forwarded(&line).map_err(io::Error::other)?;
            link.run_command(command, lines, &mut out).await?;
        }
        lines.send(&out).await?;
    }
    Ok(())
}

/// The connection that another host asks to open, if this host knows the database or
/// service.
fn open_forward(shared: &Rc<EntryShared>, line: &Bytes) -> Option<Forward> {
    let Ok(ForwardedCommand::Open { service, instance }) = shared.upstreams.decode_forwarded(line)
    else {
        return None;
    };
    let view = shared.view.borrow();
    let Some(instance) = instance else {
        view.service_rule(&service)?;
        return Some(Forward::Reads(Box::new(ForwardedReads::new(shared, service))));
    };
    let record = view.instance_by_id(&instance).filter(|record| record.service == service)?;
    Some(Forward::Database(Box::new(ForwardLink::new(shared, record.clone()))))
}

/// A connection from another host.
enum Forward {
    /// It uses the connection like one to the database.
    Database(Box<ForwardLink>),
    /// This host chooses the database for each read.
    Reads(Box<ForwardedReads>),
}

impl Forward {
    fn is_idle(&self) -> bool {
        match self {
            Self::Database(link) => link.pinned.is_none(),
            Self::Reads(reads) => reads.is_idle(),
        }
    }

    async fn run_command(
        &mut self,
        command: ForwardedCommand,
        lines: &LineStream,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        match self {
            Self::Database(link) => link.run_command(command, lines, out).await,
            Self::Reads(reads) => reads.run_command(command, out).await,
        }
    }
}

/// Reads the next command; `None` if the other host closed the connection, or if
/// this host's shutdown closes it and no command is left in the buffer.
async fn read_command(
    shared: &EntryShared,
    lines: &mut LineStream,
    is_idle: bool,
) -> io::Result<Option<Bytes>> {
    loop {
        let changed = shared.changed.notified();
        if shared.should_close_session(is_idle) {
            return Ok(lines.take_buffered_line()?);
        }
        tokio::select! {
            biased;
            line = lines.next_line() => return line,
            () = changed => {}
        }
    }
}

/// A connection from another host, which uses it like one to the database.
struct ForwardLink {
    shared: Rc<EntryShared>,
    record: InstanceRecord,
    state: SessionState,
    /// Urgency of the next statement.
    urgency: Option<ForwardUrgency>,
    /// Connection of the open transaction.
    pinned: Option<AssignedConnection>,
}

impl ForwardLink {
    fn new(shared: &Rc<EntryShared>, record: InstanceRecord) -> Self {
        Self {
            shared: shared.clone(),
            record,
            state: SessionState::default(),
            urgency: None,
            pinned: None,
        }
    }

    fn phase(&self) -> SessionPhase {
        match self.pinned {
            Some(_) => SessionPhase::InTransaction,
            None => SessionPhase::Idle,
        }
    }

    /// Runs a command and appends the answer.
    ///
    /// # Errors
    /// If the connection to the database failed: the connection of the other host
    /// must then be closed too, since the statement may have run. Also if the
    /// command is not allowed in the current state, or if the other host has given
    /// up a write: it must not run later.
    async fn run_command(
        &mut self,
        command: ForwardedCommand,
        lines: &LineStream,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        match command {
            ForwardedCommand::Open { .. } => return Err(io::ErrorKind::InvalidData.into()),
            ForwardedCommand::Urgency(urgency) => self.urgency = Some(urgency),
            ForwardedCommand::Reset => {
                self.state = SessionState::default();
                self.encode_done(out);
            }
            ForwardedCommand::Begin { read_only, after } => {
                return self.begin_transaction(read_only, after, out).await;
            }
            ForwardedCommand::Statement { after, statement } => match &statement.action {
                StatementAction::SetValue { name, value } => {
                    self.state.values.insert(name.clone(), value.clone());
                    self.encode_done(out);
                }
                StatementAction::Prepare { name, prepared } => {
                    self.state.prepared.insert(name.clone(), prepared.clone());
                    self.encode_done(out);
                }
                StatementAction::Rollback => {
                    if let Some(connection) = self.pinned.take() {
                        spawn_rollback(&self.shared, connection);
                    }
                    self.encode_done(out);
                }
                _ if self.may_commit(&statement) => {
                    return tokio::select! {
                        biased;
                        result = self.run_statement(&statement, after, out) => result,
                        () = lines.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
                    };
                }
                _ => return self.run_statement(&statement, after, out).await,
            },
        }
        Ok(())
    }

    /// True if the statement commits a write: outside a transaction, or as its end.
    fn may_commit(&self, statement: &CallerStatement) -> bool {
        let commits = statement.action == StatementAction::Commit;
        commits || (self.pinned.is_none() && statement.writes(&self.state))
    }

    fn encode_done(&self, out: &mut Vec<u8>) {
        self.shared.callers.encode_done(out);
        self.shared.callers.encode_ready(out, self.phase(), None);
    }

    fn encode_busy(&self, out: &mut Vec<u8>, retry_after: Option<Duration>) {
        match retry_after {
            Some(retry_after) => {
                let hint = retry_hint(OVERLOADED, retry_after);
                self.shared.callers.encode_refusal(out, CallerRefusal::NotRun, &hint);
            }
            None => self.shared.upstreams.encode_forward_refusal(out, UpstreamCode::Busy),
        }
        self.shared.callers.encode_ready(out, self.phase(), None);
    }

    fn encode_answer(&self, out: &mut Vec<u8>, answer: &UpstreamAnswer) {
        out.extend_from_slice(&answer.body);
        self.shared.callers.encode_ready(out, answer.phase, answer.position);
    }

    /// Acquires a direct connection, if one becomes free within
    /// `FORWARD_CONNECT_TIMEOUT`. Else the error says after which time the caller should
    /// try again, if that is known.
    async fn acquire_connection(&mut self) -> Result<AssignedConnection, Option<Duration>> {
        let pool = self.shared.direct_pool(&self.record);
        let now = self.shared.now();
        let urgency = self.urgency.take().unwrap_or(DEFAULT_URGENCY);
        let statement = QueuedStatement {
            arrived: now - urgency.waited,
            objective: urgency.objective,
            priority: urgency.priority,
        };
        let deadline = Instant::now() + FORWARD_CONNECT_TIMEOUT;
        let workspace = urgency.workspace.as_ref();
        let forecast = pool.forecast(now, statement, workspace, deadline);
        if let QueueForecast::Refuse { retry_after } = forecast {
            pool.record_early_refusal(&self.shared, statement.priority);
            return Err(Some(retry_after));
        }
        let acquired = pool.acquire(&self.shared, statement, workspace, deadline).await;
        let pooled = acquired.map_err(|_| None)?;
        let service = Arc::clone(&self.record.service);
        let sampled_term = self.shared.view.borrow().term_led_by(&service, &self.record.key);
        Ok(AssignedConnection::for_forward(pooled, service, sampled_term))
    }

    async fn begin_transaction(
        &mut self,
        read_only: bool,
        after: Option<LogPosition>,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        if self.pinned.is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut connection = match self.acquire_connection().await {
            Ok(connection) => connection,
            Err(retry_after) => {
                self.encode_busy(out, retry_after);
                return Ok(());
            }
        };
        let mut bytes = Vec::new();
        let Some(link) = connection.pooled.link() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let restore_count =
            encode_begin(&self.shared, link, &self.state, read_only, after, &mut bytes);
        let answer = self.exchange(&mut connection, &bytes, restore_count).await?;
        self.encode_answer(out, &answer);
        self.pin_or_release(connection, &answer);
        Ok(())
    }

    async fn run_statement(
        &mut self,
        statement: &CallerStatement,
        after: Option<LogPosition>,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        if let StatementAction::Execute { name, .. } = &statement.action
            && !self.state.prepared.contains_key(name)
        {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let connection = match self.pinned.take() {
            Some(connection) => Ok(connection),
            None => self.acquire_connection().await,
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(retry_after) => {
                self.encode_busy(out, retry_after);
                return Ok(());
            }
        };
        let mut bytes = Vec::with_capacity(statement.text.len() + 64);
        let Some(link) = connection.pooled.link() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let restore_count =
            encode_statement(&self.shared, link, &self.state, statement, after, &mut bytes);
        let answer = self.exchange(&mut connection, &bytes, restore_count).await?;
        self.encode_answer(out, &answer);
        self.pin_or_release(connection, &answer);
        Ok(())
    }

    async fn exchange(
        &self,
        connection: &mut AssignedConnection,
        bytes: &[u8],
        restore_count: usize,
    ) -> io::Result<UpstreamAnswer> {
        let deadline = Instant::now() + FORWARD_TIMEOUT;
        let mut trace = RequestTrace::new(b"-", self.shared.now());
        run_exchange(&self.shared, connection, bytes, restore_count, deadline, &mut trace)
            .await
            .map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    /// Pins the connection to the open transaction, or releases it.
    fn pin_or_release(&mut self, mut connection: AssignedConnection, answer: &UpstreamAnswer) {
        match answer.phase {
            SessionPhase::Idle => connection.pooled.release(),
            SessionPhase::InTransaction | SessionPhase::Failed => {
                connection.pooled.pin();
                self.pinned = Some(connection);
            }
        }
    }
}

impl Drop for ForwardLink {
    fn drop(&mut self) {
        if let Some(connection) = self.pinned.take() {
            spawn_rollback(&self.shared, connection);
        }
    }
}
