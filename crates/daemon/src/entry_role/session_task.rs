use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};

use super::{
    caller_reply::CallerReply, caller_session::CallerSession, entry_shared::EntryShared,
    idle_timer::IdleTimer, pool_overload::retry_hint,
};
use crate::{
    edges::{CallerRefusal, CallerRequest, SessionPhase},
    links::{LineStream, LineTooLong, prepare_socket},
};

/// Time for a caller to send its connect request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connect request waits for this host's first configuration.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a caller to close its connection after a message that is too long. What it
/// still sends meanwhile is read, as closing would else reset the connection before the
/// caller has read the refusal.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that sent data may stay unacknowledged before a caller counts as gone.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// What the caller of a message that exceeds the protocol's limit is told.
const TOO_LONG_HINT: &str = "the message is longer than 1 MiB";

/// What a session does next.
enum SessionStep {
    Message(Bytes),
    /// The caller's key was removed or moved to another workspace.
    RefuseKey,
    /// The message exceeds the protocol's limit; nothing after it can be read.
    RefuseLength,
    /// The caller is gone, or this host's shutdown closes the session.
    Close,
}

/// Serves one caller until it disconnects or the host closes its session.
pub(super) async fn serve_caller(shared: Rc<EntryShared>, stream: TcpStream) {
    if prepare_socket(&stream, CALLER_ACK_TIMEOUT).is_err() {
        return;
    }
    shared.sessions.set(shared.sessions.get() + 1);
    let mut lines = LineStream::new(stream);
    let cancel = shared.cancel.clone();
    if let Some(Err(error)) = cancel.run_until_cancelled(run_session(&shared, &mut lines)).await {
        tracing::debug!(target: "entry", %error, "caller connection failed; its session is closed");
    }
    shared.sessions.set(shared.sessions.get() - 1);
}

async fn run_session(shared: &Rc<EntryShared>, lines: &mut LineStream) -> io::Result<()> {
    let mut out = Vec::new();
    let Some(mut session) = open_session(shared, lines, &mut out).await? else {
        return lines.send(&out).await;
    };
    shared.callers.encode_ready(&mut out, SessionPhase::Idle, None);
    lines.send(&out).await?;
    loop {
        let step = read_message(shared, lines, &mut session).await?;
        out.clear();
        let line = match step {
            SessionStep::Message(line) => line,
            SessionStep::RefuseKey => {
                // The caller reads it as the answer to its next statement.
                let reply = session.end();
                encode_refused(shared, &mut out, reply);
                return lines.send(&out).await;
            }
            SessionStep::RefuseLength => {
                session.fail_transaction();
                refuse_malformed(shared, &mut out, TOO_LONG_HINT, &session);
                return send_last(lines, &out).await;
            }
            SessionStep::Close => return Ok(()),
        };
        match shared.callers.decode_request(&line) {
            Ok(CallerRequest::Terminate) => return Ok(()),
            Ok(CallerRequest::Statement(statement)) => {
                let reply = session.run(&statement).await;
                encode_reply(shared, &mut out, reply, &session);
            }
            Ok(CallerRequest::Connect { .. }) => {
                refuse_malformed(shared, &mut out, "the session is open already", &session);
            }
            Err(error) => refuse_malformed(shared, &mut out, error.reason, &session),
        }
        lines.send(&out).await?;
        if session.key_removed {
            return Ok(());
        }
        lines.shrink();
    }
}

/// Reads the connect request and opens the session that it asks for.
/// `None` if there is no session: `out` then holds the refusal, or nothing if no
/// request came.
async fn open_session(
    shared: &Rc<EntryShared>,
    lines: &mut LineStream,
    out: &mut Vec<u8>,
) -> io::Result<Option<CallerSession>> {
    let Ok(first) = timeout(CONNECT_TIMEOUT, lines.next_line()).await else {
        return Ok(None);
    };
    let line = match first {
        Ok(Some(line)) => line,
        Ok(None) => return Ok(None),
        Err(error) if LineTooLong::caused(&error) => {
            shared.callers.encode_refusal(out, CallerRefusal::Malformed, TOO_LONG_HINT);
            send_last(lines, out).await?;
            out.clear();
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    let (database, key) = match shared.callers.decode_request(&line) {
        Ok(CallerRequest::Connect { database, key }) => (database, key),
        Ok(_) => {
            let hint = "name a database first";
            shared.callers.encode_refusal(out, CallerRefusal::Malformed, hint);
            return Ok(None);
        }
        Err(error) => {
            shared.callers.encode_refusal(out, CallerRefusal::Malformed, error.reason);
            return Ok(None);
        }
    };
    let opened = shared.now();
    if !wait_for_routes(shared).await {
        let hint = "this host has no configuration yet; try again in 500 ms";
        shared.callers.encode_refusal(out, CallerRefusal::NotRun, hint);
        return Ok(None);
    }
    let Some(route) = shared.view.borrow().route(&database) else {
        let hint = "no route has this name";
        shared.callers.encode_refusal(out, CallerRefusal::UnknownDatabase, hint);
        return Ok(None);
    };
    let mut session = CallerSession::new(shared, database, opened);
    session.caller.key = key;
    let deadline = Instant::now() + ROUTES_TIMEOUT;
    match session.caller.admit(shared, Some(&route), deadline).await {
        Ok(()) => Ok(Some(session)),
        Err(error) => {
            let reply = session.refuse_unassigned(error);
            encode_refused(shared, out, reply);
            Ok(None)
        }
    }
}

/// Sends the last message of a connection, and waits for the caller to close it.
async fn send_last(lines: &mut LineStream, out: &[u8]) -> io::Result<()> {
    lines.send(out).await?;
    // Without an answer in time the connection is closed by dropping it.
    let _ = timeout(CLOSE_TIMEOUT, lines.close()).await;
    Ok(())
}

/// Appends a refusal that ends the session.
fn encode_refused(shared: &EntryShared, out: &mut Vec<u8>, reply: CallerReply) {
    if let CallerReply::Refused(refusal, hint) = reply {
        shared.callers.encode_refusal(out, refusal, hint);
    }
}

/// Waits for a configuration, which may be missing shortly after the start of the
/// host; false if there is none within `ROUTES_TIMEOUT`.
async fn wait_for_routes(shared: &EntryShared) -> bool {
    let deadline = Instant::now() + ROUTES_TIMEOUT;
    loop {
        let changed = shared.changed.notified();
        let known = shared.view.borrow().routes().is_some();
        if known || timeout_at(deadline, changed).await.is_err() {
            return known;
        }
    }
}

/// Reads the caller's next message, and rolls back its transaction if that comes
/// too late.
async fn read_message(
    shared: &Rc<EntryShared>,
    lines: &mut LineStream,
    session: &mut CallerSession,
) -> io::Result<SessionStep> {
    let to_step = |line: io::Result<Option<Bytes>>| match line {
        Ok(Some(line)) => Ok(SessionStep::Message(line)),
        Ok(None) => Ok(SessionStep::Close),
        Err(error) if LineTooLong::caused(&error) => Ok(SessionStep::RefuseLength),
        Err(error) => Err(error),
    };
    let idle_timer = IdleTimer::start(session);
    loop {
        let changed = shared.changed.notified();
        if shared.should_close_session(session.is_idle()) {
            return to_step(lines.take_buffered_line().map_err(io::Error::from));
        }
        if session.must_end() {
            return Ok(SessionStep::RefuseKey);
        }
        tokio::select! {
            biased;
            line = lines.next_line() => return to_step(line),
            () = idle_timer.wait_for_end(session), if session.pinned.is_some() => {
                session.end_idle_transaction();
            }
            () = changed => {}
        }
    }
}

fn encode_reply(
    shared: &EntryShared,
    out: &mut Vec<u8>,
    reply: CallerReply,
    session: &CallerSession,
) {
    match reply {
        CallerReply::Done => shared.callers.encode_done(out),
        CallerReply::Relayed { body, .. } => out.extend_from_slice(&body),
        CallerReply::Refused(refusal, hint) => shared.callers.encode_refusal(out, refusal, hint),
        CallerReply::RefusedFor(reason, retry_after) => {
            let hint = retry_hint(reason, retry_after);
            shared.callers.encode_refusal(out, CallerRefusal::NotRun, &hint);
        }
    }
    shared.callers.encode_ready(out, session.phase(), session.position);
}

fn refuse_malformed(shared: &EntryShared, out: &mut Vec<u8>, hint: &str, session: &CallerSession) {
    shared.callers.encode_refusal(out, CallerRefusal::Malformed, hint);
    shared.callers.encode_ready(out, session.phase(), session.position);
}
