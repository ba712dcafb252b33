//! Stand-ins for the databases, the platform, the operator and clients, and a small
//! deployment of the project's own programs on loopback addresses. Standard library only.
//!
//! The stand-ins follow PROTOCOL.md; where it is silent they behave like a sound server,
//! client or platform.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Name of the service of all cases.
pub const SERVICE: &str = "books";
/// Interval of the databases' pings.
pub const HEARTBEAT_MS: u64 = 1_200;

/// The file `record.txt` of a case: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// Writes bytes so that control characters can be seen.
pub fn show(bytes: &[u8]) -> String {
    bytes.iter().flat_map(|byte| std::ascii::escape_default(*byte)).map(char::from).collect()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

// ---------------------------------------------------------------------------
// Databases

/// One committed transaction in a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogEntry {
    pub term: u64,
    pub ids: Vec<String>,
    pub writes: Vec<(Vec<u8>, Vec<u8>)>,
    at: Instant,
}

/// One database of the service.
#[derive(Debug)]
pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub born: u64,
    pub is_primary: bool,
    /// Term that it leads or follows.
    pub term: u64,
    pub log: Vec<LogEntry>,
    pub draining: bool,
    /// Time at which a ping that says so was acknowledged.
    pub drain_acked_at: Option<Instant>,
    /// The next ping is sent at once.
    ping_now: bool,
    /// It receives nothing from the primary.
    pub deaf: bool,
    /// Time of the last promote of another database, for a former primary.
    deposed_at: Option<Instant>,
    seq: u64,
}

/// A statement that a database ran.
#[derive(Debug, Clone)]
pub struct RunStatement {
    pub at: Instant,
    pub database: String,
    pub id: Vec<u8>,
    pub text: Vec<u8>,
}

/// A promote that took effect.
#[derive(Debug, Clone)]
pub struct Lead {
    pub at: Instant,
    pub id: String,
    /// Ids of the statements whose commits its log held.
    pub held: Vec<String>,
}

/// The databases of the service, and what they ran.
pub struct Group {
    pub databases: Mutex<Vec<Database>>,
    pub runs: Mutex<Vec<RunStatement>>,
    /// Promotes that took effect.
    pub leads: Mutex<Vec<Lead>>,
    /// Commits of writes: time, database and ids of the statements.
    pub commits: Mutex<Vec<(Instant, String, Vec<String>)>>,
    /// Time in ms that each write takes beside the usual work.
    pub slow_writes_ms: AtomicU64,
    /// Replicas that must have received a commit before it is acknowledged: 0 or 1.
    pub sync_replicas: AtomicU64,
    pub record: Arc<Record>,
    /// Time after which replicas receive a commit.
    pub lag: Duration,
    /// Time that each read, write and commit takes.
    pub work: Duration,
}

impl Group {
    /// Starts databases at these addresses; the first is the primary.
    pub fn start(record: &Arc<Record>, addresses: &[SocketAddr]) -> Arc<Self> {
        let databases = addresses.iter().enumerate().map(|(index, address)| Database {
            id: format!("i-{index}"),
            address: *address,
            zone: format!("zone-{}", (b'a' + (index % 3) as u8) as char),
            born: unix_ms(),
            is_primary: index == 0,
            term: 1,
            log: Vec::new(),
            draining: false,
            drain_acked_at: None,
            ping_now: false,
            deaf: false,
            deposed_at: None,
            seq: 0,
        });
        let group = Arc::new(Self {
            databases: Mutex::new(databases.collect()),
            runs: Mutex::default(),
            leads: Mutex::default(),
            commits: Mutex::default(),
            slow_writes_ms: AtomicU64::new(0),
            sync_replicas: AtomicU64::new(0),
            record: record.clone(),
            lag: Duration::from_millis(20),
            work: Duration::from_millis(2),
        });
        for (index, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address).expect("a database's address");
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || serve_database(&group, index, stream));
                }
            });
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                replicating.replicate();
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<Database>> {
        self.databases.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Sends pings of all databases to the control addresses until the process ends.
    pub fn announce_to(self: &Arc<Self>, control: Vec<SocketAddr>) {
        let count = self.lock().len();
        for index in 0..count {
            let (group, control) = (self.clone(), control.clone());
            thread::spawn(move || {
                let mut target = index;
                loop {
                    let (path, body, drains) = group.next_ping(index);
                    for _ in 0..control.len() {
                        let address = control[target % control.len()];
                        match http_call(address, "POST", &path, &body, Duration::from_secs(1)) {
                            Ok(answer) if answer.status / 100 == 2 => {
                                group.record_ack(index, drains);
                                break;
                            }
                            _ => target += 1,
                        }
                    }
                    group.wait_for_next_ping(index);
                }
            });
        }
    }

    /// Waits one interval, or until the database's role has changed.
    fn wait_for_next_ping(&self, index: usize) {
        let was_primary = self.lock()[index].is_primary;
        let end = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        while Instant::now() < end {
            if self.is_ping_due(index, was_primary) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_ping_due(&self, index: usize, was_primary: bool) -> bool {
        let mut databases = self.lock();
        let database = &mut databases[index];
        database.is_primary != was_primary || std::mem::take(&mut database.ping_now)
    }

    /// Path and body of the next ping, and whether it says that the database drains.
    fn next_ping(&self, index: usize) -> (String, String, bool) {
        let mut databases = self.lock();
        let database = &mut databases[index];
        database.seq += 1;
        let role = if database.is_primary { "primary" } else { "replica" };
        let state = if database.draining { "draining" } else { "ready" };
        let body = format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{state}","cold_remaining_ms":0,"db_role":"{role}","seq":{},"born":{}}}"#,
            database.address, database.zone, database.seq, database.born
        );
        (format!("/Instances.Heartbeat/{}", database.id), body, database.draining)
    }

    fn record_ack(&self, index: usize, drains: bool) {
        let mut databases = self.lock();
        let database = &mut databases[index];
        if drains && database.drain_acked_at.is_none() {
            database.drain_acked_at = Some(Instant::now());
            self.record.line(format!("{}: its draining is acknowledged", database.id));
        }
    }

    /// Moves commits to the replicas.
    fn replicate(&self) {
        let mut databases = self.lock();
        let now = Instant::now();
        let leader = databases.iter().filter(|d| d.is_primary).max_by_key(|d| d.term);
        let Some((log, term)) = leader.map(|leader| (leader.log.clone(), leader.term)) else {
            return;
        };
        for database in databases.iter_mut() {
            if database.is_primary && database.term < term {
                // It notices the new primary a second after it can reach it.
                if database.deposed_at.is_some_and(|at| now - at >= Duration::from_secs(1)) {
                    database.is_primary = false;
                }
                continue;
            }
            if database.is_primary || database.deaf {
                continue;
            }
            let same = database.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            database.log.truncate(same);
            database.term = term;
            let sent = log[same..].iter().take_while(|entry| now - entry.at >= self.lag);
            database.log.extend(sent.cloned());
        }
    }

    /// Waits until one replica has received a commit, if the service asks for that.
    fn wait_until_received(&self, index: usize, entry: &LogEntry) {
        while self.sync_replicas.load(Ordering::Relaxed) > 0 {
            let databases = self.lock();
            let mut others = databases.iter().enumerate().filter(|(at, _)| *at != index);
            if others.any(|(_, other)| other.log.contains(entry)) {
                return;
            }
            drop(databases);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Index of the database that leads the highest term.
    pub fn primary(&self) -> usize {
        let databases = self.lock();
        let leads = databases.iter().enumerate().filter(|(_, database)| database.is_primary);
        leads.max_by_key(|(_, database)| database.term).map_or(0, |(index, _)| index)
    }

    /// Makes a database drain, as its next ping says; with `at_once` that is sent now.
    pub fn set_draining(&self, index: usize, at_once: bool) {
        let mut databases = self.lock();
        databases[index].draining = true;
        databases[index].ping_now = at_once;
        self.record.line(format!("{} drains from now on", databases[index].id));
    }

    /// Waits until the draining of a database is acknowledged; returns when that was.
    pub fn wait_for_drain_ack(&self, index: usize) -> Instant {
        loop {
            if let Some(at) = self.lock()[index].drain_acked_at {
                return at;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Cuts a database off from the primary's log, or ends that.
    pub fn set_deaf(&self, index: usize, deaf: bool) {
        let mut databases = self.lock();
        databases[index].deaf = deaf;
        let what = if deaf { "receives nothing from now on" } else { "receives again" };
        self.record.line(format!("{} {what}", databases[index].id));
    }

    /// Makes a database lead the next term; false if it is not known.
    pub fn promote(&self, id: &str) -> bool {
        let mut databases = self.lock();
        let term = databases.iter().map(|d| d.term).max().unwrap_or(0);
        let Some(index) = databases.iter().position(|database| database.id == id) else {
            return false;
        };
        if databases[index].is_primary && databases[index].term == term {
            return true;
        }
        for (at, database) in databases.iter_mut().enumerate() {
            if at != index && database.is_primary {
                database.deposed_at = Some(Instant::now());
            }
        }
        databases[index].is_primary = true;
        databases[index].term = term + 1;
        let held = databases[index].log.iter().flat_map(|entry| entry.ids.clone()).collect();
        let lead = Lead { at: Instant::now(), id: id.to_owned(), held };
        self.leads.lock().unwrap_or_else(|error| error.into_inner()).push(lead);
        self.record.line(format!("platform: {id} leads term {}", term + 1));
        true
    }
}

fn position_of(log: &[LogEntry]) -> String {
    log.last().map_or("-".to_owned(), |entry| format!("{}.{}", entry.term, log.len()))
}

fn holds(log: &[LogEntry], term: u64, number: usize) -> bool {
    number == 0 || log.get(number - 1).is_some_and(|entry| entry.term == term)
}

/// Reads messages that end with CR LF; a LF alone is part of a field.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// The next message without CR LF; `None` at the end of the connection.
    pub fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let message = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(Some(message));
            }
            let mut bytes = [0; 16 * 1024];
            match self.stream.read(&mut bytes)? {
                0 => return Ok(None),
                count => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

fn split_blank(bytes: &[u8]) -> (&[u8], &[u8]) {
    match bytes.iter().position(|byte| *byte == b' ') {
        Some(at) => (&bytes[..at], &bytes[at + 1..]),
        None => (bytes, &[]),
    }
}

/// One session at a database.
#[derive(Default)]
struct Session {
    state: char,
    reads_only: bool,
    /// Term in which a plain transaction began.
    term: u64,
    values: BTreeMap<Vec<u8>, Vec<u8>>,
    prepared: HashMap<Vec<u8>, (bool, Vec<u8>)>,
    ids: Vec<String>,
    writes: Vec<(Vec<u8>, Vec<u8>)>,
}

fn serve_database(group: &Group, index: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut messages = MessageReader::new(stream);
    let mut session = Session { state: 'I', ..Session::default() };
    let mut opened = false;
    while let Ok(Some(message)) = messages.next() {
        let answer = match opened {
            false => {
                let words: Vec<&[u8]> = message.split(|byte| *byte == b' ').collect();
                let databases = group.lock();
                let id = databases[index].id.as_bytes();
                let right = words.len() >= 3
                    && words[0] == b"CONNECT"
                    && words[1] == SERVICE.as_bytes()
                    && words.get(3).is_none_or(|expected| *expected == id);
                if !right {
                    let _ = out.write_all(b"ERROR MISROUTED\r\n");
                    return;
                }
                opened = true;
                format!("READY I {}\r\n", position_of(&databases[index].log)).into_bytes()
            }
            true => answer_query(group, index, &mut session, &message),
        };
        if out.write_all(&answer).is_err() {
            return;
        }
    }
}

fn answer_query(group: &Group, index: usize, session: &mut Session, message: &[u8]) -> Vec<u8> {
    let (word, rest) = split_blank(message);
    let (id, text) = split_blank(rest);
    let result = match word {
        b"QUERY" => run_statement(group, index, session, id, text),
        _ => Err("MALFORMED"),
    };
    let mut out = match result {
        Ok(body) => body,
        Err(code) => {
            if session.state == 'T' && code != "BUSY" {
                session.state = 'E';
            }
            format!("ERROR {code} {}\r\n", group.lock()[index].id).into_bytes()
        }
    };
    let position = position_of(&group.lock()[index].log);
    out.extend_from_slice(format!("READY {} {position}\r\n", session.state).as_bytes());
    out
}

/// Runs a statement; returns the rows and the result.
fn run_statement(
    group: &Group,
    index: usize,
    session: &mut Session,
    id: &[u8],
    text: &[u8],
) -> Result<Vec<u8>, &'static str> {
    let done = || Ok(b"COMPLETE -\r\n".to_vec());
    let (word, rest) = split_blank(text);
    let (word, rest, text) = match word {
        b"AFTER" => {
            let (position, text) = split_blank(rest);
            let position = std::str::from_utf8(position).map_err(|_| "MALFORMED")?;
            let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
            let term = term.parse().map_err(|_| "MALFORMED")?;
            let number = number.parse().map_err(|_| "MALFORMED")?;
            if !holds(&group.lock()[index].log, term, number) {
                return Err("LAGGING");
            }
            let (word, rest) = split_blank(text);
            (word, rest, text)
        }
        _ => (word, rest, text),
    };
    if session.state == 'E' && word != b"ROLLBACK" {
        return Err("MALFORMED");
    }
    match word {
        b"STATUS" => {
            let databases = group.lock();
            let database = &databases[index];
            let role = if database.is_primary { "primary" } else { "replica" };
            let (term, received) = (database.term, position_of(&database.log));
            Ok(format!("ROW {role} {term} {received} {term} 0 0 1\r\nCOMPLETE -\r\n").into_bytes())
        }
        b"RESET" => {
            session.values.clear();
            session.prepared.clear();
            done()
        }
        b"SET" => {
            let (name, value) = split_blank(rest);
            session.values.insert(name.to_vec(), value.to_vec());
            done()
        }
        b"PREPARE" => {
            let (name, rest) = split_blank(rest);
            let (kind, shape) = split_blank(rest);
            session.prepared.insert(name.to_vec(), (kind == b"WRITE", shape.to_vec()));
            done()
        }
        b"DEALLOC" => session.prepared.remove(rest).map_or(Err("NOSTMT"), |_| done()),
        b"BEGIN" => {
            let databases = group.lock();
            session.reads_only = rest == b"READ";
            if !session.reads_only && !databases[index].is_primary {
                return Err("READONLY");
            }
            session.term = databases[index].term;
            session.state = 'T';
            done()
        }
        b"ROLLBACK" => {
            session.state = 'I';
            session.writes.clear();
            session.ids.clear();
            done()
        }
        _ => run_work(group, index, session, id, text),
    }
}

fn run_work(
    group: &Group,
    index: usize,
    session: &mut Session,
    id: &[u8],
    text: &[u8],
) -> Result<Vec<u8>, &'static str> {
    thread::sleep(group.work);
    let (word, rest) = split_blank(text);
    let (writes, arguments) = match word {
        b"READ" => (false, rest),
        b"WRITE" => (true, rest),
        b"COMMIT" => (false, rest),
        b"EXECUTE" => {
            let (name, arguments) = split_blank(rest);
            let (writes, _) = session.prepared.get(name).ok_or("NOSTMT")?;
            (*writes, arguments)
        }
        _ => return Err("MALFORMED"),
    };
    if writes {
        thread::sleep(Duration::from_millis(group.slow_writes_ms.load(Ordering::Relaxed)));
    }
    let mut databases = group.lock();
    let database = &mut databases[index];
    let in_plain = session.state == 'T' && !session.reads_only;
    let leads = database.is_primary && (!in_plain || database.term == session.term);
    let wrote = !session.writes.is_empty();
    if (writes && !leads) || (in_plain && !leads && (word != b"COMMIT" || wrote)) {
        return Err("READONLY");
    }
    let run = RunStatement {
        at: Instant::now(),
        database: database.id.clone(),
        id: id.to_vec(),
        text: text.to_vec(),
    };
    group.record.line(format!("{} runs {} {}", run.database, show(id), show(text)));
    group.runs.lock().unwrap_or_else(|error| error.into_inner()).push(run);
    let digest = format!("COMPLETE digest.{}.{}\r\n", database.id, show(id)).into_bytes();
    let (item, data) = split_blank(arguments);
    if writes {
        session.writes.push((item.to_vec(), data.to_vec()));
        session.ids.push(show(id));
    }
    if word == b"COMMIT" || (writes && session.state == 'I') {
        session.state = 'I';
        let (ids, writes) = (std::mem::take(&mut session.ids), std::mem::take(&mut session.writes));
        if !writes.is_empty() {
            let term = database.term;
            let entry = LogEntry { term, ids, writes, at: Instant::now() };
            database.log.push(entry.clone());
            let commit = (entry.at, database.id.clone(), entry.ids.clone());
            group.commits.lock().unwrap_or_else(|error| error.into_inner()).push(commit);
            drop(databases);
            group.wait_until_received(index, &entry);
        }
        return Ok(digest);
    }
    if writes {
        return Ok(digest);
    }
    let stored = database.log.iter().flat_map(|entry| &entry.writes).chain(&session.writes);
    let value = stored.filter(|(name, _)| name == item).last().map(|(_, data)| data.clone());
    let mut body = b"ROW ".to_vec();
    body.extend(value.unwrap_or_default());
    body.extend_from_slice(b"\r\n");
    body.extend(digest);
    Ok(body)
}

// ---------------------------------------------------------------------------
// HTTP: the platform, the operator and the ready probe

#[derive(Debug, Clone)]
pub struct HttpAnswer {
    pub status: u16,
    pub location: Option<SocketAddr>,
    pub body: String,
}

/// Sends one request on a connection of its own.
pub fn http_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<HttpAnswer> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    (&stream).read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let rest = name.eq_ignore_ascii_case("location").then_some(value)?;
        rest.strip_prefix("http://")?.split('/').next()?.parse().ok()
    });
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok(HttpAnswer { status, location, body: body.to_owned() })
}

/// A call of the operator: tries each control address and follows redirects twice.
pub fn operator_call(
    record: &Record,
    control: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
) -> Option<HttpAnswer> {
    for address in control {
        let mut target = *address;
        for _ in 0..3 {
            let Ok(answer) = http_call(target, method, path, body, Duration::from_secs(1)) else {
                record.line(format!("operator: {method} {path} at {target}: no answer"));
                break;
            };
            record.line(format!("operator: {method} {path} at {target}: {}", answer.status));
            match (answer.status, answer.location) {
                (307, Some(location)) => target = location,
                (200, _) => return Some(answer),
                (400..500, _) => return Some(answer),
                _ => break,
            }
        }
    }
    None
}

/// Repeats an operator's call until it gets a clear answer.
pub fn operator_order(
    record: &Record,
    control: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
) -> HttpAnswer {
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        if let Some(answer) = operator_call(record, control, method, path, body) {
            return answer;
        }
        thread::sleep(Duration::from_millis(200));
    }
    cannot_run(record, &format!("{method} {path} got no clear answer"))
}

/// A promotion that the platform received.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub id: String,
}

/// The platform's promotion API.
pub struct Platform {
    pub promotions: Mutex<Vec<Promotion>>,
}

impl Platform {
    /// Serves `POST /promotion`; the database leads `delay` after the call.
    pub fn start(group: &Arc<Group>, address: SocketAddr, delay: Duration) -> Arc<Self> {
        let platform = Arc::new(Self { promotions: Mutex::default() });
        let listener = TcpListener::bind(address).expect("the platform's address");
        let (served, group) = (platform.clone(), group.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, group) = (served.clone(), group.clone());
                thread::spawn(move || platform.serve(&group, stream, delay));
            }
        });
        platform
    }

    fn serve(&self, group: &Arc<Group>, stream: TcpStream, delay: Duration) {
        let Some((head, body)) = read_request(&stream) else {
            return;
        };
        let header = |name: &str| {
            head.lines().find_map(|line| {
                let (known, value) = line.split_once(": ")?;
                known.eq_ignore_ascii_case(name).then(|| value.to_owned())
            })
        };
        let id = json_text(&body, "id").unwrap_or_default();
        let promotion = Promotion {
            at: Instant::now(),
            holder: header("X-Duty-Holder").unwrap_or_default(),
            fence: header("X-Fence-Token").and_then(|f| f.parse().ok()).unwrap_or(0),
            id: id.clone(),
        };
        group.record.line(format!("platform: received {promotion:?}"));
        self.promotions.lock().unwrap_or_else(|error| error.into_inner()).push(promotion);
        let known = group.lock().iter().any(|database| database.id == id);
        let status = if known { "200 OK" } else { "409 Conflict" };
        let _ = (&stream).write_all(
            format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}")
                .as_bytes(),
        );
        drop(stream);
        if known {
            thread::sleep(delay);
            group.promote(&id);
        }
    }
}

fn read_request(mut stream: &TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    loop {
        let mut part = [0; 4096];
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length: usize = head
            .lines()
            .find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length").then(|| value.parse().ok())?
            })
            .unwrap_or(0);
        if body.len() >= length {
            return Some((head.to_owned(), body.to_owned()));
        }
    }
}

/// The text of a field in a flat JSON object.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    rest.trim_start().strip_prefix('"')?.split('"').next().map(str::to_owned)
}

// ---------------------------------------------------------------------------
// Clients

/// A client's session.
pub struct Client {
    out: TcpStream,
    messages: MessageReader,
    record: Arc<Record>,
    name: String,
}

/// The answer to a client's statement.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<Vec<u8>>,
    /// `COMPLETE ...` or `ERROR ...`.
    pub result: String,
    /// `READY ...`.
    pub ready: String,
}

impl Client {
    /// Opens a session; an error if it is refused.
    pub fn open(
        record: &Arc<Record>,
        name: &str,
        address: SocketAddr,
        database: &str,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let (out, messages) = (stream.try_clone()?, MessageReader::new(stream));
        let mut client = Self { out, messages, record: record.clone(), name: name.to_owned() };
        client.send(format!("CONNECT {database} {name}\r\n").as_bytes())?;
        match client.receive()? {
            ready if ready.starts_with(b"READY") => Ok(client),
            other => Err(io::Error::other(show(&other))),
        }
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.record.line(format!("{} sends {}", self.name, show(bytes)));
        self.out.write_all(bytes)
    }

    /// The next message; an error at the end of the connection.
    pub fn receive(&mut self) -> io::Result<Vec<u8>> {
        let received = self.messages.next();
        match &received {
            Ok(Some(message)) => self.record.line(format!("{} gets {}", self.name, show(message))),
            Ok(None) => self.record.line(format!("{} gets the end", self.name)),
            Err(error) => self.record.line(format!("{} gets {error}", self.name)),
        }
        received?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads the answer to one statement.
    pub fn receive_answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer { rows: Vec::new(), result: String::new(), ready: String::new() };
        loop {
            let message = self.receive()?;
            let (word, rest) = split_blank(&message);
            match word {
                b"ROW" => answer.rows.push(rest.to_vec()),
                b"READY" => {
                    answer.ready = show(&message);
                    return Ok(answer);
                }
                _ => answer.result = show(&message),
            }
        }
    }

    /// Sends a statement and reads its answer.
    pub fn run(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        self.send(format!("QUERY {id} {text}\r\n").as_bytes())?;
        self.receive_answer()
    }

    pub fn close(self) {
        let _ = self.out.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------------------
// The deployment

/// A process of the project under test; it is killed when this is dropped.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        Command::new("target/release/hawthornstack-platform")
            .arg(role)
            .env("HAWTHORNSTACK_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("target/release/hawthornstack-platform")
    }

    /// Sends a signal by name: KILL, TERM, STOP, CONT or HUP.
    pub fn signal(&self, record: &Record, name: &str) {
        record.line(format!("{name} to {}", self.name));
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Sends SIGKILL without a detour through a shell.
    pub fn kill_now(&mut self) {
        let _ = self.child.kill();
    }

    /// Waits for the end of a process that got a signal; false if it does not end.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.has_ended() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Waits for the end of a process that was killed, and starts it again.
    pub fn restart(&mut self, record: &Record) {
        let _ = self.child.wait();
        record.line(format!("{} starts again", self.name));
        self.child = Self::spawn(self.role, &self.settings, &self.log);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// True if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Control and entry hosts, databases and the platform, each at its own address.
pub struct Deployment {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub group: Arc<Group>,
    pub platform: Arc<Platform>,
    pub control: Vec<Process>,
    pub entries: Vec<Process>,
    ports: Ports,
    network: [u8; 3],
    platform_address: SocketAddr,
    /// Control hosts that the settings of further processes name as seeds.
    pub seeds: Vec<u8>,
}

#[derive(Debug, Clone, Copy)]
struct Ports {
    link: u16,
    control: u16,
    front: u16,
    ready: u16,
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A port that nothing uses now, below the range of outgoing connections.
fn free_port() -> u16 {
    let start = 12_000 + (std::process::id() as u64 * 37) % 15_000;
    loop {
        let offset = NEXT_PORT.fetch_add(2, Ordering::Relaxed);
        let port = (start + offset) as u16;
        let is_free = |port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return port;
        }
    }
}

impl Deployment {
    /// Starts 3 control hosts, `entries` entry hosts and 3 databases; the first
    /// configuration is in force and all entry hosts are ready when this returns.
    pub fn start(case: &Path, number: u8, entries: u8, config: &str) -> Self {
        let mut deployment = Self::prepare(case, number);
        deployment.start_hosts(entries);
        let control = deployment.control_addresses();
        let answer =
            operator_order(&deployment.record, &control, "POST", "/Config.Replace", config);
        if answer.status != 200 {
            cannot_run(&deployment.record, "the first configuration was refused");
        }
        for index in 0..entries as usize {
            deployment.wait_until_ready(index);
        }
        deployment
    }

    /// Starts the databases and the platform, and no process of the project yet.
    pub fn prepare(case: &Path, number: u8) -> Self {
        let record = Record::create(case);
        let network = [127, 100 + (std::process::id() % 100) as u8, number];
        let folder = std::env::temp_dir()
            .join(format!("hawthornstack-review-{number}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ports = Ports {
            link: free_port(),
            control: free_port(),
            front: free_port(),
            ready: free_port(),
        };
        let at = |host: u8, port: u16| SocketAddr::from((address(network, host), port));
        let database_port = free_port();
        let addresses: Vec<SocketAddr> = (0..3).map(|n| at(30 + n, database_port)).collect();
        let group = Group::start(&record, &addresses);
        let platform_address = at(40, free_port());
        let platform = Platform::start(&group, platform_address, Duration::from_millis(300));
        Self {
            record,
            folder,
            group,
            platform,
            control: Vec::new(),
            entries: Vec::new(),
            ports,
            network,
            platform_address,
            seeds: vec![1, 2, 3],
        }
    }

    /// Starts the whole system for the first time; the databases announce themselves.
    pub fn start_hosts(&mut self, entries: u8) {
        for number in 1..=3 {
            let process = self.spawn("control", number, true);
            self.control.push(process);
        }
        for number in 0..entries {
            let process = self.spawn("entry", 10 + number, true);
            self.entries.push(process);
        }
        self.group.announce_to(self.control_addresses());
    }

    /// Starts a host; `bootstrap` is true only when the whole system starts for the first
    /// time.
    fn spawn(&self, role: &'static str, number: u8, bootstrap: bool) -> Process {
        let platform = self.platform_address;
        let ip = address(self.network, number);
        let name = format!("{role}-{number}");
        let zone = (b'a' + (number + 2) % 3) as char;
        let data = self.folder.join(format!("{name}.data"));
        let seed = |n: &u8| format!("{}:{}", address(self.network, *n), self.ports.control);
        let seeds: Vec<String> = self.seeds.iter().map(seed).collect();
        let class = if role == "control" { "core" } else { "front" };
        let serves = if role == "control" { "control" } else { "front" };
        let listen = match role {
            "control" => format!("listen.control={ip}:{}\n", self.ports.control),
            _ => format!(
                "listen.front={ip}:{}\nlisten.ready={ip}:{}\n",
                self.ports.front, self.ports.ready
            ),
        };
        let disk = match role {
            "control" => format!("data_dir={}\nlimits.disk_mb=128\n", data.display()),
            _ => "limits.disk_mb=0\n".to_owned(),
        };
        let text = format!(
            "node={name}\nrole={role}\nmachine_class={class}\nserves={serves}\nip={ip}\n\
             zone=zone-{zone}\nregion=region-a\nzones.zone-a=region-a\nzones.zone-b=region-a\n\
             zones.zone-c=region-a\n{listen}internal_ports={},{}\nseeds={}\nbootstrap={bootstrap}\n\
             loss_counts={}\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4200\nlimits.link_mbps=1000.0\n{disk}discovery=registration\n\
             entry=vip\nheartbeat_ms={HEARTBEAT_MS}\ncontracts=base,drain,config,cost,recover,sql\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=12000\nbounds.recovery_s=12\nbounds.require_fencing=false\n\
             bounds.thaw_ms=300\nconfig_mode=highest\ncloud_api.address={platform}\n\
             cloud_api.rate_per_s=50.0\ncloud_api.duties=promote\ncloud_api.duty_per_s=50.0\n",
            self.ports.link,
            self.ports.link + 1,
            seeds.join(","),
            role == "control",
        );
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        self.record.line(format!("{name} starts at {ip}"));
        let child = Process::spawn(role, &settings, &log);
        Process { name, ip, role, settings, log, child }
    }

    /// Adds a control host with an empty disk.
    pub fn add_control(&mut self, number: u8) {
        let process = self.spawn("control", number, false);
        self.control.push(process);
    }

    /// Address at which a control host serves the operator.
    pub fn control_address(&self, number: u8) -> SocketAddr {
        (address(self.network, number), self.ports.control).into()
    }

    /// Kills the control host with this index and starts it again with an empty disk.
    pub fn lose_disk(&mut self, index: usize, down: Duration) {
        let (record, number) = (self.record.clone(), self.control[index].ip.octets()[3]);
        let process = &mut self.control[index];
        process.signal(&record, "KILL");
        let _ = process.child.wait();
        let data = self.folder.join(format!("{}.data", process.name));
        let _ = fs::remove_dir_all(data);
        record.line(format!("{} has lost its disk", process.name));
        thread::sleep(down);
        self.control[index] = self.spawn("control", number, false);
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (1..=3).map(|n| (address(self.network, n), self.ports.control).into()).collect()
    }

    /// Address for clients of an entry host.
    pub fn front(&self, index: usize) -> SocketAddr {
        (self.entries[index].ip, self.ports.front).into()
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = (self.entries[index].ip, self.ports.ready).into();
        http_call(address, "GET", "/readiness", "", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self, index: usize) {
        let end = Instant::now() + Duration::from_secs(30);
        while !self.is_ready(index) {
            if Instant::now() > end {
                cannot_run(&self.record, "an entry host did not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line(format!("{} is ready", self.entries[index].name));
    }

    /// Runs an operation until a database serves it, for up to 20 s.
    pub fn wait_until_served(&self, index: usize, database: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Ok(mut client) = Client::open(&self.record, "probe", self.front(index), database)
                && client
                    .run("probe", "READ probe")
                    .is_ok_and(|answer| answer.result.starts_with("COMPLETE"))
            {
                return;
            }
            thread::sleep(Duration::from_millis(300));
        }
        cannot_run(&self.record, "no operation was served")
    }

    /// Ends all processes, removes the temporary folder and exits with the result.
    pub fn finish(self, broken: Option<String>) -> ! {
        let record = self.record.clone();
        drop(self);
        let code = match &broken {
            Some(what) => {
                record.line(format!("RULE BROKEN: {what}"));
                println!("rule broken: {what}");
                1
            }
            None => {
                record.line("the rule held");
                println!("the rule held");
                0
            }
        };
        std::process::exit(code)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.control.clear();
        self.entries.clear();
        // KEEP_LOGS leaves the logs of the processes for a reader.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address(network: [u8; 3], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(network[0], network[1], network[2], host)
}

/// Ends a case that could not run. Processes end with their parent's handles.
pub fn cannot_run(record: &Record, reason: &str) -> ! {
    record.line(format!("the case could not run: {reason}"));
    println!("the case could not run: {reason}");
    // Unwinds, so that the handles of the processes end them.
    std::panic::resume_unwind(Box::new(CannotRun))
}

/// Payload of the panic of a case that could not run.
pub struct CannotRun;

/// True unless the environment says TROUBLE=0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case in the folder `review/N` and exits with 2 if it could not run.
pub fn run_case(case: impl FnOnce() + std::panic::UnwindSafe) -> ! {
    let _ = std::panic::catch_unwind(case);
    std::process::exit(2)
}

/// A flag that threads of a case check to end.
pub fn new_flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}
