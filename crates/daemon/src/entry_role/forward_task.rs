use std::{io, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornstack_decisions::{
    entry_role::{QueuedStatement, SessionState},
    instances::InstanceRecord,
    positions::LogPosition,
};
use tokio::{net::TcpStream, time::Instant};

use super::{
    entry_shared::EntryShared,
    request_trace::RequestTrace,
    statement_run::{RunPlace, encode_begin, encode_statement, roll_back_place, run_at},
    upstream_link::UpstreamAnswer,
};
use crate::{
    edges::{
        CallerStatement, ForwardUrgency, ForwardedCommand, SessionPhase, StatementAction,
        UpstreamCode,
    },
    links::{LineStream, prepare_socket},
};

/// Time for which a forwarded statement waits for a connection of its home;
/// its own host repeats what is refused while it has time.
const FORWARD_WAIT: Duration = Duration::from_millis(250);
/// Longest time for a forwarded statement at the database; its own host gives
/// up sooner by the route's timeout.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence of another host with unacknowledged data after which it is gone.
const FORWARD_SILENCE: Duration = Duration::from_secs(2);

/// Of a statement whose host says nothing about it.
const DEFAULT_URGENCY: ForwardUrgency =
    ForwardUrgency { priority: 1, objective: FORWARD_WAIT, waited: Duration::ZERO };

/// Takes another entry host's statements for a database that this host is a home
/// of.
pub(super) async fn serve_forwards(shared: Rc<EntryShared>, stream: TcpStream) {
    if prepare_socket(&stream, FORWARD_SILENCE).is_err() {
        return;
    }
    let mut lines = LineStream::new(stream);
    let cancel = shared.cancel.clone();
    let served = cancel.run_until_cancelled(run_forwards(&shared, &mut lines)).await;
    if let Some(Err(error)) = served {
        tracing::debug!(target: "entry", %error, "a host's connection broke");
    }
}

async fn run_forwards(shared: &Rc<EntryShared>, lines: &mut LineStream) -> io::Result<()> {
    let Some(line) = lines.next_line().await? else {
        return Ok(());
    };
    let mut out = Vec::new();
    let Some(record) = open_forward(shared, &line) else {
        shared.upstreams.encode_forward_refusal(&mut out, UpstreamCode::Misrouted);
        return lines.send(&out).await;
    };
    shared.callers.encode_ready(&mut out, SessionPhase::Idle, None);
    lines.send(&out).await?;
    let mut link = ForwardLink::new(shared, record);
    while let Some(line) = next_command(shared, lines, &link).await? {
        out.clear();
        let command = shared.upstreams.decode_forwarded(&line).map_err(io::Error::other)?;
        link.run(command, &mut out).await?;
        // Restoring statements come together with the one they are for.
        while let Some(line) = lines.take_buffered_line() {
            let command = shared.upstreams.decode_forwarded(&line).map_err(io::Error::other)?;
            link.run(command, &mut out).await?;
        }
        lines.send(&out).await?;
    }
    Ok(())
}

/// The database that another host wants, if this host knows it.
fn open_forward(shared: &EntryShared, line: &Bytes) -> Option<InstanceRecord> {
    let Ok(ForwardedCommand::Open { service, instance }) = shared.upstreams.decode_forwarded(line)
    else {
        return None;
    };
    let view = shared.view.borrow();
    view.instance_by_id(&instance).filter(|record| record.service == service).cloned()
}

/// The next command; `None` if the other host closed, or if this host stops
/// and no transaction is open.
async fn next_command(
    shared: &EntryShared,
    lines: &mut LineStream,
    link: &ForwardLink,
) -> io::Result<Option<Bytes>> {
    loop {
        let changed = shared.changed.notified();
        if shared.closes_session(link.place.is_none()) {
            return Ok(lines.take_buffered_line());
        }
        tokio::select! {
            biased;
            line = lines.next_line() => return line,
            () = changed => {}
        }
    }
}

/// One connection of another host, which stands for one to the database.
struct ForwardLink {
    shared: Rc<EntryShared>,
    record: InstanceRecord,
    state: SessionState,
    /// Of the next statement.
    urgency: Option<ForwardUrgency>,
    /// The open transaction's place.
    place: Option<RunPlace>,
}

impl ForwardLink {
    fn new(shared: &Rc<EntryShared>, record: InstanceRecord) -> Self {
        Self {
            shared: shared.clone(),
            record,
            state: SessionState::default(),
            urgency: None,
            place: None,
        }
    }

    fn phase(&self) -> SessionPhase {
        match self.place {
            Some(_) => SessionPhase::InTransaction,
            None => SessionPhase::Idle,
        }
    }

    /// Runs a command and appends the answer.
    ///
    /// # Errors
    /// If the database's connection broke: the other host's must break too,
    /// since the statement may have run.
    async fn run(&mut self, command: ForwardedCommand, out: &mut Vec<u8>) -> io::Result<()> {
        match command {
            ForwardedCommand::Open { .. } => return Err(io::ErrorKind::InvalidData.into()),
            ForwardedCommand::Urgency(urgency) => self.urgency = Some(urgency),
            ForwardedCommand::Reset => {
                self.state = SessionState::default();
                self.done(out);
            }
            ForwardedCommand::Begin { read_only, after } => {
                return self.begin(read_only, after, out).await;
            }
            ForwardedCommand::Statement { after, statement } => match &statement.action {
                StatementAction::SetValue { name, value } => {
                    self.state.values.insert(name.clone(), value.clone());
                    self.done(out);
                }
                StatementAction::Prepare { name, prepared } => {
                    self.state.prepared.insert(name.clone(), prepared.clone());
                    self.done(out);
                }
                StatementAction::Rollback => {
                    if let Some(place) = self.place.take() {
                        roll_back_place(&self.shared, place);
                    }
                    self.done(out);
                }
                _ => return self.statement(&statement, after, out).await,
            },
        }
        Ok(())
    }

    fn done(&self, out: &mut Vec<u8>) {
        self.shared.callers.encode_done(out);
        self.shared.callers.encode_ready(out, self.phase(), None);
    }

    fn refuse(&self, out: &mut Vec<u8>) {
        self.shared.upstreams.encode_forward_refusal(out, UpstreamCode::Busy);
        self.shared.callers.encode_ready(out, self.phase(), None);
    }

    fn relay(&self, out: &mut Vec<u8>, answer: &UpstreamAnswer) {
        out.extend_from_slice(&answer.body);
        self.shared.callers.encode_ready(out, answer.phase, answer.position);
    }

    /// A connection of this host, if one comes free soon.
    async fn connect(&mut self) -> Option<RunPlace> {
        let pool = self.shared.direct_pool(&self.record);
        let now = self.shared.now();
        let urgency = self.urgency.take().unwrap_or(DEFAULT_URGENCY);
        let statement = QueuedStatement {
            arrived: now - urgency.waited,
            objective: urgency.objective,
            priority: urgency.priority,
        };
        let deadline = Instant::now() + FORWARD_WAIT;
        let link = pool.acquire(&self.shared, statement, deadline).await.ok()?;
        Some(RunPlace::for_forward(link, Arc::clone(&self.record.service)))
    }

    async fn begin(
        &mut self,
        read_only: bool,
        after: Option<LogPosition>,
        out: &mut Vec<u8>,
    ) -> io::Result<()> {
        if self.place.is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(mut place) = self.connect().await else {
            self.refuse(out);
            return Ok(());
        };
        let mut bytes = Vec::new();
        let Some(link) = place.link.link() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let restoring = encode_begin(&self.shared, link, &self.state, read_only, after, &mut bytes);
        let answer = self.exchange(&mut place, &bytes, restoring).await?;
        self.relay(out, &answer);
        self.keep(place, &answer);
        Ok(())
    }

    async fn statement(
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
        let place = match self.place.take() {
            Some(place) => Some(place),
            None => self.connect().await,
        };
        let Some(mut place) = place else {
            self.refuse(out);
            return Ok(());
        };
        let mut bytes = Vec::with_capacity(statement.text.len() + 64);
        let Some(link) = place.link.link() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let restoring =
            encode_statement(&self.shared, link, &self.state, statement, after, &mut bytes);
        let answer = self.exchange(&mut place, &bytes, restoring).await?;
        self.relay(out, &answer);
        self.keep(place, &answer);
        Ok(())
    }

    async fn exchange(
        &self,
        place: &mut RunPlace,
        bytes: &[u8],
        restoring: usize,
    ) -> io::Result<UpstreamAnswer> {
        let deadline = Instant::now() + FORWARD_TIMEOUT;
        let mut trace = RequestTrace::new(b"-", self.shared.now());
        run_at(&self.shared, place, bytes, restoring, deadline, &mut trace)
            .await
            .map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    /// Keeps the place for the open transaction, or gives it back.
    fn keep(&mut self, mut place: RunPlace, answer: &UpstreamAnswer) {
        match answer.phase {
            SessionPhase::Idle => place.link.release(),
            SessionPhase::InTransaction | SessionPhase::Failed => {
                place.link.pin();
                self.place = Some(place);
            }
        }
    }
}

impl Drop for ForwardLink {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            roll_back_place(&self.shared, place);
        }
    }
}
