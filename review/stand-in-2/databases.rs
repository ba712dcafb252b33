//! The databases of one service: a primary, which streams its log to its replicas, and the
//! platform's call that promotes one of them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    hosts::{CONTROLS, Network},
    http,
    record::Record,
};

pub const SERVICE: &str = "huvo11a";
const TICK: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the platform's call until the database leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// Time for which an old primary goes on once it can reach the new one.
const DEPOSE_TIME: Duration = Duration::from_secs(1);
/// Time for which the database works on a statement.
const WORK_TIME: Duration = Duration::from_millis(2);
const SLOTS: u32 = 3;

/// One commit that writes: the term of its primary and the id of its statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    pub term: u64,
    pub id: String,
}

struct Database {
    id: String,
    at: SocketAddr,
    is_primary: bool,
    /// Newest term that it knows.
    term: u64,
    log: Vec<Commit>,
    up: bool,
    /// Counts its starts.
    boot: u64,
    born_ms: u64,
    sequence: u64,
    /// It started again without a log and copies the primary's.
    copies: bool,
    draining: bool,
    connections: Vec<TcpStream>,
}

/// A promotion that has taken effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at_ms: u64,
    pub id: String,
    pub log: Vec<Commit>,
}

/// How a replica that starts again without a log gets one, and when it pings control.
#[derive(Clone, Copy, Debug)]
pub struct Restarts {
    /// Time from the start of a database to its first ping.
    pub first_ping: Duration,
    /// Time from its start until it receives the log.
    pub copy_after: Duration,
    /// Commits of the log that it then receives in a second.
    pub copied_per_s: f64,
}

struct Group {
    databases: Vec<Database>,
    promotions: Vec<Promotion>,
    restarts: Restarts,
    copy_credit: f64,
    sync_replicas: usize,
}

/// A handle on the databases.
#[derive(Clone)]
pub struct Databases {
    group: Arc<Mutex<Group>>,
    changed: Arc<Condvar>,
    network: Network,
    record: Record,
}

impl Group {
    /// The running primary of the newest term.
    fn primary(&self) -> Option<usize> {
        let running = self.databases.iter().enumerate().filter(|(_, d)| d.up && d.is_primary);
        running.max_by_key(|(_, database)| database.term).map(|(index, _)| index)
    }

    /// Streams the primary's log to the replicas that run.
    fn replicate(&mut self) {
        self.copy_credit += self.restarts.copied_per_s * TICK.as_secs_f64();
        let copied = self.copy_credit as usize;
        self.copy_credit -= copied as f64;
        let copy_after_ms = self.restarts.copy_after.as_millis() as u64;
        let Some(primary) = self.primary() else {
            return;
        };
        let (term, log) = (self.databases[primary].term, self.databases[primary].log.clone());
        for (index, replica) in self.databases.iter_mut().enumerate() {
            if index == primary || !replica.up || replica.is_primary {
                continue;
            }
            if replica.term > term {
                continue;
            }
            replica.term = term;
            let common = replica.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
            replica.log.truncate(common);
            let most = match replica.copies {
                true if unix_ms() < replica.born_ms + copy_after_ms => 0,
                true => copied,
                false => log.len(),
            };
            replica.log.extend(log.iter().skip(common).take(most).cloned());
            replica.copies &= replica.log.len() < log.len();
        }
    }
}

impl Databases {
    /// Starts databases that hold `history` commits, the first one as the primary.
    pub fn start(
        network: &Network,
        count: u8,
        history: usize,
        restarts: Restarts,
        sync_replicas: usize,
        record: &Record,
    ) -> io::Result<Self> {
        let log: Vec<Commit> =
            (0..history).map(|number| Commit { term: 1, id: format!("h{number}") }).collect();
        let databases = (0..count).map(|number| Database {
            id: format!("i-{number}a91c2"),
            at: network.database(number),
            is_primary: number == 0,
            term: 1,
            log: log.clone(),
            up: false,
            boot: 0,
            born_ms: 0,
            sequence: 0,
            copies: false,
            draining: false,
            connections: Vec::new(),
        });
        let group = Group {
            databases: databases.collect(),
            promotions: Vec::new(),
            restarts,
            copy_credit: 0.0,
            sync_replicas,
        };
        let all = Self {
            group: Arc::new(Mutex::new(group)),
            changed: Arc::new(Condvar::new()),
            network: network.clone(),
            record: record.clone(),
        };
        all.serve_promotions()?;
        for index in 0..usize::from(count) {
            all.boot(index)?;
        }
        let ticking = all.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.lock().replicate();
                ticking.changed.notify_all();
            }
        });
        Ok(all)
    }

    fn lock(&self) -> MutexGuard<'_, Group> {
        self.group.lock().unwrap()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// One line on each database.
    pub fn summary(&self) -> String {
        let group = self.lock();
        let lines = group.databases.iter().map(|database| {
            let role = if database.is_primary { "primary" } else { "replica" };
            format!(
                "{} {role} {}.{} up {}",
                database.id,
                database.term,
                database.log.len(),
                database.up
            )
        });
        lines.collect::<Vec<String>>().join(", ")
    }

    /// Index of the running primary.
    #[allow(dead_code)]
    pub fn primary(&self) -> Option<usize> {
        self.lock().primary()
    }

    /// Ends a database's process.
    pub fn crash(&self, index: usize) {
        let mut group = self.lock();
        let database = &mut group.databases[index];
        database.up = false;
        database.boot += 1;
        for connection in database.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(&format!(
            "database {} ends at {}.{}",
            database.id,
            database.term,
            database.log.len()
        ));
    }

    /// Starts a database again under its id: a primary with its log, as a replica if
    /// another database was promoted; a replica holds nothing of before.
    pub fn restart(&self, index: usize) -> io::Result<()> {
        let mut group = self.lock();
        let newest = group.databases.iter().map(|database| database.term).max().unwrap_or(0);
        let database = &mut group.databases[index];
        let was_primary = database.is_primary;
        database.is_primary &= database.term == newest;
        if !was_primary {
            database.log.clear();
            database.copies = true;
        }
        database.sequence = 0;
        let (id, count) = (database.id.clone(), database.log.len());
        let role = if database.is_primary { "primary" } else { "replica" };
        drop(group);
        self.record.line(&format!("database {id} starts again as a {role} with {count} commits"));
        self.boot(index)
    }

    /// Announces the planned shutdown of a database, which serves on.
    pub fn drain(&self, index: usize) {
        self.lock().databases[index].draining = true;
    }

    /// Ends a database that drains. Its log is transferred to a new one at its address.
    pub fn replace(&self, index: usize) -> io::Result<()> {
        let group = self.lock();
        let (id, born) = (group.databases[index].id.clone(), group.databases[index].born_ms);
        drop(group);
        let (path, body) = (format!("/Instances.Leave/{id}"), format!("{{\"born\":{born}}}"));
        for host in CONTROLS {
            let at = self.network.operator(host);
            let answer = http::call(at, "POST", &path, &body, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                break;
            }
        }
        self.crash(index);
        let mut group = self.lock();
        let database = &mut group.databases[index];
        database.id = format!("n-{index}c07e");
        database.draining = false;
        database.sequence = 0;
        drop(group);
        self.record.line(&format!("{id} has left; n-{index}c07e takes its log and address"));
        self.boot(index)
    }

    fn boot(&self, index: usize) -> io::Result<()> {
        let at = self.lock().databases[index].at;
        let listener = bind(at)?;
        listener.set_nonblocking(true)?;
        let mut group = self.lock();
        let database = &mut group.databases[index];
        database.up = true;
        database.boot += 1;
        database.born_ms = unix_ms();
        let boot = database.boot;
        drop(group);
        let all = self.clone();
        thread::spawn(move || {
            while all.runs(index, boot) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let all = all.clone();
                        thread::spawn(move || {
                            let _ = all.serve(index, boot, stream);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let all = self.clone();
        thread::spawn(move || all.send_heartbeats(index, boot));
        Ok(())
    }

    fn runs(&self, index: usize, boot: u64) -> bool {
        let group = self.lock();
        group.databases[index].up && group.databases[index].boot == boot
    }

    /// Pings control, at once when its role or state changes.
    fn send_heartbeats(&self, index: usize, boot: u64) {
        let first_ping = self.lock().restarts.first_ping;
        thread::sleep(first_ping);
        let mut turn = index;
        let mut last_sent = None;
        let mut waited = HEARTBEAT;
        while self.runs(index, boot) {
            let mut group = self.lock();
            let database = &mut group.databases[index];
            let role = if database.is_primary { "primary" } else { "replica" };
            let state = if database.draining { "draining" } else { "ready" };
            if waited < HEARTBEAT && last_sent == Some((role, state)) {
                drop(group);
                thread::sleep(Duration::from_millis(10));
                waited += Duration::from_millis(10);
                continue;
            }
            database.sequence += 1;
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
                 \"db_role\":\"{role}\",\"seq\":{},\"born\":{}}}",
                database.at, database.sequence, database.born_ms
            );
            let path = format!("/Instances.Heartbeat/{}", database.id);
            drop(group);
            last_sent = Some((role, state));
            waited = Duration::ZERO;
            for _ in 0..CONTROLS.len() {
                let at = self.network.operator(CONTROLS[turn % CONTROLS.len()]);
                let answer = http::call(at, "POST", &path, &body, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                    self.record.line(&format!("{at} acknowledges {body}"));
                    break;
                }
                turn += 1;
            }
        }
    }

    /// The platform's call: the named database leads the next term with what it has.
    fn serve_promotions(&self) -> io::Result<()> {
        let all = self.clone();
        http::serve(self.network.cloud(), move |head, body| {
            let id = http::json_text(body, "id").unwrap_or_default();
            let fence = http::header(head, "X-Fence-Token").unwrap_or("-").to_owned();
            let holder = http::header(head, "X-Duty-Holder").unwrap_or("-").to_owned();
            let status = all.promote(&id);
            all.record.say(&format!(
                "promotion of {id} ordered by {holder}, fence {fence}: {status}; {}",
                all.summary()
            ));
            status
        })
    }

    fn promote(&self, id: &str) -> u16 {
        let group = self.lock();
        let Some(index) = group.databases.iter().position(|database| database.id == id) else {
            return 409;
        };
        if !group.databases[index].up {
            return 409;
        }
        let newest = group.databases.iter().map(|database| database.term).max().unwrap_or(0);
        if group.databases[index].is_primary && group.databases[index].term == newest {
            return 200;
        }
        drop(group);
        let all = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            all.take_lead(index);
        });
        200
    }

    fn take_lead(&self, index: usize) {
        let mut group = self.lock();
        let newest = group.databases.iter().map(|database| database.term).max().unwrap_or(0);
        let database = &mut group.databases[index];
        if !database.up || (database.is_primary && database.term == newest) {
            return;
        }
        database.is_primary = true;
        database.copies = false;
        database.term = newest + 1;
        let (id, log) = (database.id.clone(), database.log.clone());
        let promotion = Promotion { at_ms: self.record.millis(), id: id.clone(), log };
        group.promotions.push(promotion);
        drop(group);
        self.record.say(&format!("{id} leads; {}", self.summary()));
        let all = self.clone();
        thread::spawn(move || {
            thread::sleep(DEPOSE_TIME);
            let mut group = all.lock();
            let newest = group.databases.iter().map(|database| database.term).max().unwrap_or(0);
            for database in group.databases.iter_mut().filter(|database| database.up) {
                database.is_primary &= database.term == newest;
            }
        });
    }

    /// Serves one connection.
    fn serve(&self, index: usize, boot: u64, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.lock().databases[index].connections.push(stream.try_clone()?);
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let first = read_line(&mut reader)?;
        let words: Vec<&str> = first.split(' ').collect();
        let id = self.lock().databases[index].id.clone();
        if words.first() != Some(&"CONNECT")
            || words.get(1) != Some(&SERVICE)
            || words.get(3).is_some_and(|expected| *expected != id)
        {
            return out.write_all(b"ERROR MISROUTED -\r\n");
        }
        let mut connection = Connection { state: 'I', writes: Vec::new(), plain: false };
        let ready = self.ready(index, connection.state);
        out.write_all(ready.as_bytes())?;
        loop {
            let line = read_line(&mut reader)?;
            if line == "TERMINATE" {
                return Ok(());
            }
            let (id, text) = line
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))
                .ok_or(io::ErrorKind::InvalidData)?;
            let answer = self.run(index, boot, &mut connection, id, text)?;
            if !self.runs(index, boot) {
                return Ok(());
            }
            out.write_all(answer.as_bytes())?;
            out.write_all(self.ready(index, connection.state).as_bytes())?;
        }
    }

    fn ready(&self, index: usize, state: char) -> String {
        let group = self.lock();
        let database = &group.databases[index];
        let term = database.log.last().map_or(0, |commit| commit.term);
        format!("READY {state} {term}.{}\r\n", database.log.len())
    }

    /// Runs a statement; an error closes the connection without an answer.
    fn run(
        &self,
        index: usize,
        boot: u64,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> io::Result<String> {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|r| r.split_once(' ')) {
            Some((after, text)) => (Some(after), text),
            None => (None, text),
        };
        if text == "STATUS" {
            return Ok(self.status(index));
        }
        if text == "RESET" || ["SET ", "PREPARE ", "DEALLOC "].iter().any(|w| text.starts_with(w)) {
            return Ok("COMPLETE -\r\n".into());
        }
        if text == "ROLLBACK" {
            *connection = Connection { state: 'I', writes: Vec::new(), plain: false };
            return Ok("COMPLETE -\r\n".into());
        }
        thread::sleep(WORK_TIME);
        if !self.runs(index, boot) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.record.line(&format!("database {index} runs {id} {text}"));
        let group = self.lock();
        let database = &group.databases[index];
        let leads = database.is_primary;
        if let Some(after) = after
            && !holds(&database.log, after)
        {
            return Ok(format!("ERROR LAGGING {}\r\n", database.id));
        }
        let refused = format!("ERROR READONLY {}\r\n", database.id);
        drop(group);
        match text {
            "BEGIN" if !leads => Ok(refused),
            "BEGIN" | "BEGIN READ" => {
                connection.state = 'T';
                connection.plain = text == "BEGIN";
                Ok("COMPLETE -\r\n".into())
            }
            "COMMIT" => {
                let writes = std::mem::take(&mut connection.writes);
                connection.state = 'I';
                if writes.is_empty() {
                    return Ok("COMPLETE 0.c\r\n".into());
                }
                self.commit(index, boot, writes.join("+"))
            }
            _ if text.starts_with("READ ") => {
                match connection.state == 'T' && connection.plain && !leads {
                    true => {
                        connection.state = 'E';
                        Ok(refused)
                    }
                    false => Ok("ROW value\r\nCOMPLETE 0.r\r\n".into()),
                }
            }
            _ if text.starts_with("WRITE ") && !leads => {
                connection.state = if connection.state == 'T' { 'E' } else { 'I' };
                Ok(refused)
            }
            _ if text.starts_with("WRITE ") && connection.state == 'T' => {
                connection.writes.push(id.to_owned());
                Ok("COMPLETE 0.w\r\n".into())
            }
            _ if text.starts_with("WRITE ") => self.commit(index, boot, id.to_owned()),
            _ => Ok("ERROR MALFORMED -\r\n".into()),
        }
    }

    /// Appends a commit, and answers once so many replicas as the service asks for have
    /// received it.
    fn commit(&self, index: usize, boot: u64, id: String) -> io::Result<String> {
        let mut group = self.lock();
        let database = &mut group.databases[index];
        if !database.is_primary {
            return Ok(format!("ERROR READONLY {}\r\n", database.id));
        }
        let commit = Commit { term: database.term, id };
        database.log.push(commit.clone());
        let number = database.log.len();
        loop {
            let database = &group.databases[index];
            let kept = database.log.get(number - 1) == Some(&commit);
            if !database.up || database.boot != boot || !database.is_primary || !kept {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let others =
                group.databases.iter().enumerate().filter(|(other, d)| *other != index && d.up);
            let holders = others.filter(|(_, d)| d.log.get(number - 1) == Some(&commit)).count();
            if holders >= group.sync_replicas {
                return Ok(format!("COMPLETE {}.{number}\r\n", commit.term));
            }
            group = self.changed.wait_timeout(group, Duration::from_millis(50)).unwrap().0;
        }
    }

    fn status(&self, index: usize) -> String {
        let group = self.lock();
        let database = &group.databases[index];
        let role = if database.is_primary { "primary" } else { "replica" };
        let term = database.log.last().map_or(0, |commit| commit.term);
        let (newest, count) = (database.term, database.log.len());
        let row = format!("ROW {role} {newest} {term}.{count} 0 0 0 1\r\nCOMPLETE -\r\n");
        self.record
            .line(&format!("database {index} answers STATUS: {role} {newest} {term}.{count}"));
        row
    }
}

struct Connection {
    state: char,
    writes: Vec<String>,
    /// Its transaction may write.
    plain: bool,
}

/// True if the log holds the position TERM.NUMBER.
fn holds(log: &[Commit], position: &str) -> bool {
    let numbers = position.split_once('.').and_then(|(term, number)| {
        Some((term.parse::<u64>().ok()?, number.parse::<usize>().ok()?))
    });
    let Some((term, number)) = numbers else {
        return false;
    };
    number == 0 || log.get(number - 1).is_some_and(|commit| commit.term >= term)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
    }
}

/// Binds an address, which the listener of an earlier start may still hold for a moment.
fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let mut result = TcpListener::bind(at);
    for _ in 0..100 {
        if result.is_ok() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
        result = TcpListener::bind(at);
    }
    result
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
