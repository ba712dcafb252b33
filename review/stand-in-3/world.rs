//! A small deployment on loopback for the cases of the third review: control and entry hosts as
//! processes of their own, stand-ins for the databases, the platform and the clients, and
//! proxies that can cut a machine off. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::{HashMap, HashSet},
    fs::{self, File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CORES: [u8; 3] = [1, 2, 3];
pub const FRONTS: [u8; 2] = [10, 11];
const PLATFORM: u8 = 40;
const CONTROL_PORT: u16 = 8782;
const PLATFORM_PORT: u16 = 8783;
const FRONT_PORT: u16 = 8784;
const READY_PORT: u16 = 8785;
const DATABASE_PORT: u16 = 8080;
const PAGES_PORT: u16 = 9464;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time from a promotion to its effect, as the sheets of the deployments state it.
const PROMOTE: Duration = Duration::from_millis(300);
/// "The old primary continues until DEMOTE, or until a second after it can reach the new primary."
const UNAWARE: Duration = Duration::from_secs(1);
const WORK: Duration = Duration::from_millis(4);
pub const SERVICE: &str = "books";
pub const DATABASE: &str = "ledger";

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    pub item: String,
    pub data: String,
    /// When it was committed.
    pub at: u128,
}

/// One database of the service.
pub struct Db {
    pub number: u8,
    pub id: String,
    pub born: u64,
    pub seq: u64,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub draining: bool,
    pub drain_acked: bool,
    pub running: bool,
    /// Counts the starts of its process; connections of an earlier one are closed.
    pub boot: u64,
    /// Receives nothing from the primary.
    pub deaf: bool,
    /// Receives commits this much later.
    pub lag_ms: u128,
    /// When it sends its next ping at the latest.
    ping_due: Instant,
    /// Open sessions, which a crash resets.
    sessions: Vec<TcpStream>,
    /// Cut off from the control hosts: no status query arrives, no ping leaves.
    pub cut_from_core: bool,
    /// Takes this long for a status query.
    pub status_ms: u64,
    /// When it learns that another database leads.
    deposed_at: Option<Instant>,
    /// A changed state that is not announced yet.
    changed: bool,
}

/// A commit, in the order of time.
#[derive(Clone)]
pub struct Commit {
    pub at: u128,
    pub db: String,
    pub term: u64,
    pub id: String,
}

/// A promotion that took effect.
#[derive(Clone)]
pub struct Promotion {
    pub at: u128,
    pub id: String,
    pub term: u64,
    /// Ids of the log with which it leads.
    pub held: HashSet<String>,
}

/// An answer that a client got to a write.
#[derive(Clone)]
pub struct Answer {
    pub id: String,
    pub sent: u128,
    pub at: u128,
    pub text: String,
}

/// A call that the platform read.
#[derive(Clone)]
pub struct Call {
    pub at: u128,
    pub holder: String,
    pub fence: u64,
    pub id: String,
    pub status: u16,
}

pub struct World {
    net: (u8, u8),
    pub folder: PathBuf,
    case: PathBuf,
    start: Instant,
    record: Mutex<File>,
    hosts: Mutex<HashMap<u8, Child>>,
    /// Machines that are cut off from all others of the system and from the platform.
    cut: Mutex<HashSet<u8>>,
    pub dbs: Mutex<Vec<Db>>,
    pub commits: Mutex<Vec<Commit>>,
    pub promotions: Mutex<Vec<Promotion>>,
    pub answers: Mutex<Vec<Answer>>,
    pub calls: Mutex<Vec<Call>>,
    /// The database that the platform designated last.
    designated: Mutex<String>,
    /// Cut off a machine as its next call to the platform is on its way.
    pub aim: AtomicBool,
    pub aimed_at: Mutex<Option<u8>>,
    pub stop: AtomicBool,
    sync_replicas: u64,
    bodies: AtomicU64,
}

impl World {
    /// Starts the stand-ins and the processes. `dbs` are the ids of the first databases; the
    /// first one leads.
    pub fn start(case: &Path, dbs: &[&str], sync_replicas: u64) -> io::Result<Arc<Self>> {
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), net.1));
        fs::create_dir_all(&folder)?;
        let record = File::create(case.join("record.txt"))?;
        let world = Arc::new(Self {
            net,
            folder,
            case: case.to_owned(),
            start: Instant::now(),
            record: Mutex::new(record),
            hosts: Mutex::default(),
            cut: Mutex::default(),
            dbs: Mutex::default(),
            commits: Mutex::default(),
            promotions: Mutex::default(),
            answers: Mutex::default(),
            calls: Mutex::default(),
            designated: Mutex::new(dbs[0].to_owned()),
            aim: AtomicBool::new(false),
            aimed_at: Mutex::new(None),
            stop: AtomicBool::new(false),
            sync_replicas,
            bodies: AtomicU64::new(1),
        });
        for (index, id) in dbs.iter().enumerate() {
            world.start_db(id, 20 + index as u8, index == 0)?;
        }
        let replication = world.clone();
        thread::spawn(move || replication.replicate());
        world.serve_platform()?;
        for core in CORES {
            world.serve_platform_link(core)?;
            for from in CORES.into_iter().chain(FRONTS).filter(|from| *from != core) {
                world.serve_link(from, core)?;
            }
        }
        for host in CORES.into_iter().chain(FRONTS) {
            world.start_host(host, true)?;
        }
        Ok(world)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    pub fn now(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn log(&self, line: &str) {
        let at = self.now();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{at:>7} ms  {line}");
    }

    // ---- processes ----

    /// Starts a process with the command of the deploy file.
    pub fn start_host(self: &Arc<Self>, host: u8, bootstrap: bool) -> io::Result<()> {
        let (name, role, listen) = match CORES.contains(&host) {
            true => {
                let data = self.folder.join(format!("data-{host}"));
                let at = self.at(host, CONTROL_PORT);
                (
                    format!("core-{host}"),
                    "control",
                    format!("listen.control={at}\ndata_dir={}\nloss_counts=true\n", data.display()),
                )
            }
            false => (
                format!("front-{host}"),
                "entry",
                format!(
                    "listen.front={}\nlisten.ready={}\nloss_counts=false\n",
                    self.at(host, FRONT_PORT),
                    self.at(host, READY_PORT)
                ),
            ),
        };
        let seeds: Vec<String> =
            CORES.iter().map(|core| self.at(*core, CONTROL_PORT).to_string()).collect();
        let link = link_port(host);
        let text = format!(
            "node={name}\nrole={role}\nip={}\nzone=zone-a\nregion=region\nzones.zone-a=region\n\
             {listen}internal_ports={link},{}\nseeds={}\nbootstrap={bootstrap}\n\
             heartbeat_ms=1200\nfault_tolerance.machines=1\nfault_tolerance.zones=0\n\
             fault_tolerance.regions=0\nbounds.contact_ms=4000\nbounds.drain_ms=7000\n\
             bounds.grace_s=6\nbounds.config_apply_ms=3000\nbounds.require_fencing=false\n\
             bounds.thaw_ms=300\nconfig_mode=highest\ncloud_api.address={}\n\
             cloud_api.duties=promote\ncloud_api.duty_per_s=50.0\n",
            self.ip(host),
            link + 1,
            seeds.join(","),
            self.at(40 + host, PLATFORM_PORT),
        );
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/hawthornstack-platform")
            .arg(role)
            .env("HAWTHORNSTACK_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.hosts.lock().unwrap().insert(host, child);
        Ok(())
    }

    pub fn end_hosts(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for child in self.hosts.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // The logs are kept beside the record only on request.
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }

    // ---- links between machines ----

    fn is_cut(&self, from: u8, to: u8) -> bool {
        let cut = self.cut.lock().unwrap();
        cut.contains(&from) || cut.contains(&to)
    }

    pub fn cut_off(&self, host: u8, cut: bool) {
        let mut hosts = self.cut.lock().unwrap();
        if cut { hosts.insert(host) } else { hosts.remove(&host) };
    }

    /// A link that one machine opens to a control host.
    fn serve_link(self: &Arc<Self>, from: u8, to: u8) -> io::Result<()> {
        let listener = TcpListener::bind(self.at(to, link_port(from)))?;
        let (world, target) = (self.clone(), self.at(to, link_port(to)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || world.relay(stream, target, from, to, false));
            }
        });
        Ok(())
    }

    /// The link of a control host to the platform.
    fn serve_platform_link(self: &Arc<Self>, core: u8) -> io::Result<()> {
        let listener = TcpListener::bind(self.at(40 + core, PLATFORM_PORT))?;
        let (world, target) = (self.clone(), self.at(PLATFORM, PLATFORM_PORT));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || world.relay(stream, target, core, PLATFORM, true));
            }
        });
        Ok(())
    }

    /// Passes bytes on. A cut holds up what is on its way; afterwards it is delivered, unless its
    /// sender has reset the connection. A connection that is opened during a cut is never
    /// established, so nothing of it arrives.
    fn relay(self: &Arc<Self>, near: TcpStream, target: SocketAddr, from: u8, to: u8, aims: bool) {
        if self.is_cut(from, to) {
            while self.is_cut(from, to) && !self.stop.load(Ordering::SeqCst) {
                sleep_ms(10);
            }
            return;
        }
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
        let world = self.clone();
        let back = thread::spawn(move || world.copy(far2, near2, from, to, false));
        self.copy(near, far, from, to, aims);
        let _ = back.join();
    }

    fn copy(&self, mut read: TcpStream, mut write: TcpStream, from: u8, to: u8, aims: bool) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(count) = read.read(&mut buffer) else {
                // Reset by its sender.
                let _ = write.shutdown(std::net::Shutdown::Both);
                return;
            };
            if aims && count > 0 && self.aim.swap(false, Ordering::SeqCst) {
                *self.aimed_at.lock().unwrap() = Some(from);
                self.cut_off(from, true);
                self.log(&format!(
                    "core-{from} is cut off from all machines and the platform; its call is on its way"
                ));
            }
            let held = self.is_cut(from, to);
            while self.is_cut(from, to) && !self.stop.load(Ordering::SeqCst) {
                sleep_ms(2);
            }
            if held && was_reset(&read) {
                self.log(&format!("what {from} sent to {to} is lost: the sender reset the connection"));
                let _ = write.shutdown(std::net::Shutdown::Both);
                return;
            }
            if count == 0 {
                let _ = write.shutdown(std::net::Shutdown::Write);
                return;
            }
            if write.write_all(&buffer[..count]).is_err() {
                let _ = read.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    // ---- platform ----

    fn serve_platform(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.at(PLATFORM, PLATFORM_PORT))?;
        let world = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || {
                    let _ = world.answer_call(stream);
                });
            }
        });
        Ok(())
    }

    fn answer_call(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let (mut length, mut fence, mut holder) = (0, 0, String::new());
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                let Some((name, value)) = header.trim().split_once(':') else { break };
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "x-fence-token" => fence = value.trim().parse().unwrap_or(0),
                    "x-duty-holder" => holder = value.trim().to_owned(),
                    _ => {}
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            let id = text_field(&body, "id");
            let status = self.designate(&id);
            let call = Call { at: self.now(), holder, fence, id, status };
            self.log(&format!(
                "platform: POST /promotion {} from {} with fence {} -> {}",
                call.id, call.holder, call.fence, call.status
            ));
            self.calls.lock().unwrap().push(call);
            write!(
                stream,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
            )?;
        }
    }

    /// Designates the database that leads; takes effect after `PROMOTE`.
    fn designate(self: &Arc<Self>, id: &str) -> u16 {
        let runs = self.dbs.lock().unwrap().iter().any(|db| db.id == id && db.running);
        if !runs {
            return 409;
        }
        let mut designated = self.designated.lock().unwrap();
        if *designated == id {
            return 200;
        }
        let former = std::mem::replace(&mut *designated, id.to_owned());
        let (world, id) = (self.clone(), id.to_owned());
        let boot = self.with_db(&id, |db| db.boot);
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            // One that has ended meanwhile does not lead.
            match world.with_db(&id, |db| db.running && db.boot == boot) {
                true => world.promote(&id),
                false => *world.designated.lock().unwrap() = former,
            }
        });
        200
    }

    fn promote(&self, id: &str) {
        let mut dbs = self.dbs.lock().unwrap();
        let term = dbs.iter().map(|db| db.term).max().unwrap_or(0) + 1;
        for db in dbs.iter_mut() {
            if db.id == id && db.running {
                (db.leads, db.term, db.deposed_at, db.changed) = (true, term, None, true);
                let held = db.log.iter().map(|entry| entry.id.clone()).collect();
                let at = self.now();
                let held_to = db.log.last().map_or("-".into(), position_of);
                self.promotions.lock().unwrap().push(Promotion { at, id: id.into(), term, held });
                self.log(&format!("{id} leads term {term} from {held_to} on"));
            } else if db.leads && db.deposed_at.is_none() {
                db.deposed_at = Some(Instant::now() + UNAWARE);
            }
        }
    }

    // ---- databases ----

    /// Starts a database, with an empty log unless it leads or receives one.
    pub fn start_db(self: &Arc<Self>, id: &str, number: u8, leads: bool) -> io::Result<()> {
        let listener = TcpListener::bind(self.at(number, DATABASE_PORT))?;
        self.dbs.lock().unwrap().push(Db {
            number,
            id: id.to_owned(),
            born: unix_ms(),
            seq: 0,
            leads,
            term: 1,
            log: Vec::new(),
            draining: false,
            drain_acked: false,
            running: true,
            boot: 1,
            deaf: false,
            lag_ms: 0,
            ping_due: Instant::now(),
            sessions: Vec::new(),
            cut_from_core: false,
            status_ms: 0,
            deposed_at: None,
            changed: true,
        });
        self.listen(id, 1, listener)?;
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || world.announce(&id));
        Ok(())
    }

    /// Accepts sessions until this boot of the database ends.
    fn listen(self: &Arc<Self>, id: &str, boot: u64, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            while world.with_db(&id, |db| db.running && db.boot == boot) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    world.with_db(&id, |db| db.sessions.push(copy));
                }
                let (world, id) = (world.clone(), id.clone());
                thread::spawn(move || {
                    let _ = world.serve_session(&id, stream);
                });
            }
        });
        Ok(())
    }

    /// Ends a database without a word.
    pub fn crash(&self, id: &str) {
        self.log(&format!("{id} crashes"));
        self.with_db(id, |db| {
            db.running = false;
            db.boot += 1;
            for session in db.sessions.drain(..) {
                let _ = session.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    /// Starts a database again under its id, with its log or with nothing. Its first ping comes
    /// after `ping_ms`, within the interval of pings.
    pub fn start_again(self: &Arc<Self>, id: &str, keeps_log: bool, ping_ms: u64) -> io::Result<()> {
        let number = self.with_db(id, |db| db.number);
        let mut bound = TcpListener::bind(self.at(number, DATABASE_PORT));
        for _ in 0..100 {
            if bound.is_ok() {
                break;
            }
            sleep_ms(5);
            bound = TcpListener::bind(self.at(number, DATABASE_PORT));
        }
        let superseded = self.promotions.lock().unwrap().last().is_some_and(|last| last.id != id);
        let boot = self.with_db(id, |db| {
            // "As a replica if another database was promoted."
            db.leads &= !superseded;
            db.deposed_at = None;
            if !keeps_log {
                (db.leads, db.term) = (false, 0);
                db.log.clear();
            }
            (db.running, db.seq, db.born) = (true, 0, unix_ms());
            db.ping_due = Instant::now() + Duration::from_millis(ping_ms);
            db.changed = false;
            db.boot
        });
        self.log(&format!("{id} starts again, {}", if keeps_log { "with its log" } else { "with nothing" }));
        self.listen(id, boot, bound?)
    }

    pub fn with_db<T>(&self, id: &str, change: impl FnOnce(&mut Db) -> T) -> T {
        let mut dbs = self.dbs.lock().unwrap();
        change(dbs.iter_mut().find(|db| db.id == id).expect("a database"))
    }

    pub fn leader(&self) -> Option<String> {
        let dbs = self.dbs.lock().unwrap();
        let leads = dbs.iter().filter(|db| db.leads && db.running);
        leads.max_by_key(|db| db.term).map(|db| db.id.clone())
    }

    pub fn has_db(&self, id: &str) -> bool {
        self.dbs.lock().unwrap().iter().any(|db| db.id == id)
    }

    /// The database that was designated and does not lead yet.
    pub fn promoting(&self) -> Option<String> {
        let id = self.designated.lock().unwrap().clone();
        (self.leader().as_ref() != Some(&id)).then_some(id)
    }

    /// A database that drains leaves and ends for good; one that still leads goes on.
    pub fn leave(&self, id: &str) {
        if self.leader().as_deref() == Some(id) {
            self.log(&format!("{id} still leads and goes on"));
            return;
        }
        let born = self.with_db(id, |db| db.born);
        for core in CORES {
            let path = format!("/Instances.Leave/{id}");
            if self.http(core, "POST", &path, &format!("{{\"born\":{born}}}")).is_some_and(|(status, _)| status == 200) {
                break;
            }
        }
        self.log(&format!("{id} leaves"));
        self.crash(id);
    }

    pub fn signal(&self, host: u8, name: &str) {
        if let Some(child) = self.hosts.lock().unwrap().get_mut(&host) {
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
            if name == "KILL" {
                let _ = child.wait();
            }
        }
    }

    pub fn drain(&self, id: &str) {
        self.log(&format!("{id} is released: it drains"));
        self.with_db(id, |db| (db.draining, db.changed) = (true, true));
    }

    /// Copies the log of the database that leads the highest term to the others.
    fn replicate(&self) {
        while !self.stop.load(Ordering::SeqCst) {
            sleep_ms(2);
            let mut dbs = self.dbs.lock().unwrap();
            let leader = dbs.iter().filter(|db| db.leads && db.running).max_by_key(|db| db.term);
            let Some((leader, term, log)) = leader.map(|db| (db.id.clone(), db.term, db.log.clone()))
            else {
                continue;
            };
            let follows = |db: &&mut Db| db.id != leader && db.running && !db.deaf && db.term <= term;
            for db in dbs.iter_mut().filter(follows) {
                if db.leads {
                    if db.deposed_at.is_none_or(|at| Instant::now() < at) {
                        continue;
                    }
                    (db.leads, db.deposed_at, db.changed) = (false, None, true);
                    self.log(&format!("{} learns that it no longer leads", db.id));
                }
                db.term = term;
                receive(db, &log, self.now());
            }
        }
    }

    fn announce(&self, id: &str) {
        let mut next = 0;
        while !self.stop.load(Ordering::SeqCst) {
            sleep_ms(5);
            let body = self.with_db(id, |db| {
                if !db.running || db.cut_from_core || !(db.changed || Instant::now() >= db.ping_due) {
                    return None;
                }
                db.changed = false;
                db.ping_due = Instant::now() + HEARTBEAT;
                db.seq += 1;
                let state = if db.draining { "draining" } else { "ready" };
                let role = if db.leads { "primary" } else { "replica" };
                Some(format!(
                    "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\
                     \"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\
                     \"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"seq\":{},\"born\":{}}}",
                    self.at(db.number, DATABASE_PORT),
                    db.seq,
                    db.born
                ))
            });
            let Some(body) = body else { continue };
            let path = format!("/Instances.Heartbeat/{id}");
            let mut acked = false;
            for _ in 0..CORES.len() {
                let core = CORES[next % CORES.len()];
                if !self.cut.lock().unwrap().contains(&core)
                    && self.http(core, "POST", &path, &body).is_some_and(|(status, _)| status == 200)
                {
                    acked = true;
                    break;
                }
                next += 1;
            }
            if acked {
                self.with_db(id, |db| db.drain_acked |= db.draining);
            }
        }
    }

    fn serve_session(self: &Arc<Self>, id: &str, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let boot = self.with_db(id, |db| db.running.then_some(db.boot));
        let Some(boot) = boot else { return Ok(()) };
        let mut open = false;
        let mut state = 'I';
        let mut pending: Vec<(String, String, String)> = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if !self.with_db(id, |db| db.running && db.boot == boot) {
                return Ok(());
            }
            let words: Vec<&str> = line.split(' ').collect();
            if words[0] == "CONNECT" {
                let is_core = words.get(2).is_some_and(|client| client.starts_with("core-"));
                if is_core && self.with_db(id, |db| db.cut_from_core) {
                    sleep_ms(2_000);
                    return Ok(());
                }
                open = words.get(1) == Some(&SERVICE) && words.get(3).is_none_or(|w| *w == id);
                if !open {
                    write!(stream, "ERROR MISROUTED {id}\r\n")?;
                    return Ok(());
                }
                write!(stream, "READY I {}\r\n", self.position(id))?;
                continue;
            }
            if words[0] != "QUERY" || !open || words.len() < 3 {
                return Ok(());
            }
            let query = words[1];
            let (after, text) = match words[2] {
                "AFTER" => (Some(words[3]), &words[4..]),
                _ => (None, &words[2..]),
            };
            let answer = self.run(id, boot, query, after, text, &mut state, &mut pending);
            let Some(answer) = answer else { return Ok(()) };
            if !self.with_db(id, |db| db.running && db.boot == boot) {
                return Ok(());
            }
            write!(stream, "{answer}\r\nREADY {state} {}\r\n", self.position(id))?;
        }
    }

    fn position(&self, id: &str) -> String {
        self.with_db(id, |db| db.log.last().map_or(format!("{}.0", db.term), position_of))
    }

    #[allow(clippy::too_many_arguments)]
    fn run(
        self: &Arc<Self>,
        id: &str,
        boot: u64,
        query: &str,
        after: Option<&str>,
        text: &[&str],
        state: &mut char,
        pending: &mut Vec<(String, String, String)>,
    ) -> Option<String> {
        if let Some(after) = after {
            let held = self.with_db(id, |db| db.log.last().map_or((db.term, 0), pair_of));
            if held < parse_pair(after) {
                return Some(format!("ERROR LAGGING {id}"));
            }
        }
        let done = "COMPLETE -".to_owned();
        match text {
            ["SET" | "PREPARE" | "DEALLOC" | "RESET", ..] => Some(done),
            ["STATUS"] => {
                sleep_ms(self.with_db(id, |db| db.status_ms));
                Some(self.with_db(id, |db| {
                    let role = if db.leads { "primary" } else { "replica" };
                    let held = db.log.last().map_or(format!("{}.0", db.term), position_of);
                    format!("ROW {role} {} {held} 0 0 0 1\r\nCOMPLETE -", db.term)
                }))
            }
            ["BEGIN", rest @ ..] => {
                if rest.is_empty() && !self.with_db(id, |db| db.leads) {
                    return Some(format!("ERROR READONLY {id}"));
                }
                *state = 'T';
                Some(done)
            }
            ["ROLLBACK"] => {
                *state = 'I';
                pending.clear();
                Some(done)
            }
            ["READ", item, ..] => {
                thread::sleep(WORK);
                let row = self.with_db(id, |db| {
                    let entry = db.log.iter().rev().find(|entry| entry.item == **item);
                    entry.map_or(String::new(), |entry| entry.data.clone())
                });
                Some(format!("ROW {row}\r\nCOMPLETE d.{query}"))
            }
            ["WRITE", item, data @ ..] => {
                thread::sleep(WORK);
                if !self.with_db(id, |db| db.leads) {
                    return Some(format!("ERROR READONLY {id}"));
                }
                let write = (query.to_owned(), (*item).to_owned(), data.join(" "));
                if *state == 'T' {
                    pending.push(write);
                    return Some(format!("COMPLETE d.{query}"));
                }
                self.commit(id, boot, query, vec![write])
            }
            ["COMMIT"] => {
                thread::sleep(WORK);
                *state = 'I';
                let writes = std::mem::take(pending);
                match writes.is_empty() {
                    true => Some(format!("COMPLETE d.{query}")),
                    false => self.commit(id, boot, query, writes),
                }
            }
            _ => Some("ERROR MALFORMED x".to_owned()),
        }
    }

    /// Commits writes; waits for a replica where the service has `sync_replicas`.
    fn commit(
        &self,
        id: &str,
        boot: u64,
        query: &str,
        writes: Vec<(String, String, String)>,
    ) -> Option<String> {
        let committed = {
            let mut dbs = self.dbs.lock().unwrap();
            let db = dbs.iter_mut().find(|db| db.id == id)?;
            if !db.leads || db.boot != boot || !db.running {
                return Some(format!("ERROR READONLY {id}"));
            }
            let number = db.log.last().map_or(0, |entry| entry.number) + 1;
            let term = db.term;
            for (query, item, data) in writes {
                let at = self.now();
                db.log.push(Entry { term, number, id: query.clone(), item, data, at });
                let commit = Commit { at: self.now(), db: id.to_owned(), term, id: query };
                self.commits.lock().unwrap().push(commit);
            }
            db.log.last().cloned()?
        };
        let began = Instant::now();
        while self.sync_replicas > 0 {
            let dbs = self.dbs.lock().unwrap();
            let lives = dbs.iter().any(|db| db.id == id && db.running && db.boot == boot);
            let holds = |db: &&Db| db.id != id && db.running && db.log.contains(&committed);
            if dbs.iter().filter(holds).count() as u64 >= self.sync_replicas {
                break;
            }
            drop(dbs);
            if !lives || began.elapsed() > Duration::from_secs(20) {
                return None;
            }
            sleep_ms(1);
        }
        Some(format!("COMPLETE d.{query}"))
    }

    // ---- operator and clients ----

    /// Calls a control host; follows redirects to the others.
    pub fn http(&self, core: u8, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut target = self.at(core, CONTROL_PORT);
        for _ in 0..3 {
            let mut stream = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            write!(
                stream,
                "{method} {path} HTTP/1.1\r\nHost: {target}\r\nConnection: close\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).ok()?;
            let answer = String::from_utf8_lossy(&answer).into_owned();
            let (head, body) = answer.split_once("\r\n\r\n")?;
            let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
            let location = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                let value = name.eq_ignore_ascii_case("location").then_some(value)?;
                value.strip_prefix("http://")?.split('/').next()?.parse().ok()
            });
            match (status, location) {
                (307, Some(next)) => target = next,
                _ => return Some((status, body.to_owned())),
            }
        }
        None
    }

    /// Sends the config until it is acknowledged.
    pub fn send_config(&self) -> bool {
        let version = self.bodies.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"database\":\"{DATABASE}\",\
             \"path_prefix\":\"/\",\"route_type\":\"primary\",\"timeout_ms\":1000,\
             \"target_latency_ms\":200,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":50,\
             \"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":{}}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}",
            self.sync_replicas
        );
        for _ in 0..100 {
            for core in CORES {
                if let Some((200, _)) = self.http(core, "POST", "/Config.Replace", &body) {
                    self.log(&format!("config {version} is acknowledged"));
                    return true;
                }
            }
            sleep_ms(200);
        }
        false
    }

    /// A client that writes until the end, one statement after the other.
    pub fn start_client(self: &Arc<Self>, number: u8, front: u8, pause_ms: u64) {
        let world = self.clone();
        thread::spawn(move || {
            let mut count = 0;
            while !world.stop.load(Ordering::SeqCst) {
                let _ = world.run_client(number, front, &mut count, pause_ms);
                sleep_ms(50);
            }
        });
    }

    fn run_client(&self, number: u8, front: u8, count: &mut u64, pause_ms: u64) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.at(front, FRONT_PORT))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        write!(stream, "CONNECT {DATABASE}\r\n")?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("READY") {
            return Ok(());
        }
        while !self.stop.load(Ordering::SeqCst) {
            *count += 1;
            let id = format!("c{number:02}n{count:05}");
            let sent = self.now();
            write!(stream, "QUERY {id} WRITE k{} v{count}\r\n", *count % 50)?;
            let mut text = String::new();
            loop {
                let mut line = String::new();
                let read = reader.read_line(&mut line);
                if !matches!(read, Ok(count) if count > 0) {
                    let answer = Answer { id, sent, at: self.now(), text: "(none)".into() };
                    self.answers.lock().unwrap().push(answer);
                    return Ok(());
                }
                if line.starts_with("READY") {
                    break;
                }
                text.push_str(line.trim_end());
            }
            self.answers.lock().unwrap().push(Answer { id, sent, at: self.now(), text });
            sleep_ms(pause_ms);
        }
        Ok(())
    }

    /// Waits until a client's write is acknowledged that was sent from now on.
    pub fn wait_for_service(&self, limit_ms: u64) -> bool {
        let (from, until) = (self.now(), self.now() + u128::from(limit_ms));
        while self.now() < until {
            let answers = self.answers.lock().unwrap();
            if answers.iter().any(|a| a.sent >= from && a.text.starts_with("COMPLETE")) {
                return true;
            }
            drop(answers);
            sleep_ms(10);
        }
        false
    }

    /// Writes the commits and answers into the record.
    pub fn write_history(&self) {
        let mut lines: Vec<(u128, String)> = Vec::new();
        for commit in self.commits.lock().unwrap().iter() {
            lines.push((commit.at, format!("{} commits {} in term {}", commit.db, commit.id, commit.term)));
        }
        for answer in self.answers.lock().unwrap().iter() {
            lines.push((answer.at, format!("client: {} sent at {} ms -> {}", answer.id, answer.sent, answer.text)));
        }
        lines.sort();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "-- commits and answers --");
        for (at, line) in lines {
            let _ = writeln!(record, "{at:>7} ms  {line}");
        }
    }

    pub fn log_path(&self) -> &Path {
        &self.case
    }
}

/// Receives what a database lacks of the log of the one that leads.
fn receive(db: &mut Db, log: &[Entry], now: u128) {
    let fits = db.log.last().is_none_or(|last| log.get(db.log.len() - 1) == Some(last));
    if !fits {
        let common = db.log.iter().zip(log).take_while(|(own, other)| own == other).count();
        db.log.truncate(common);
    }
    let arrived = log.iter().skip(db.log.len()).take_while(|entry| entry.at + db.lag_ms <= now);
    db.log.extend(arrived.cloned().collect::<Vec<_>>());
}

/// True if the sender has reset the connection; false if it is open or was closed in order.
fn was_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(result, Err(error) if error.kind() != io::ErrorKind::WouldBlock)
}

fn link_port(host: u8) -> u16 {
    7500 + 2 * u16::from(host)
}

/// A part of the loopback range of which the ports are free.
fn free_net() -> io::Result<(u8, u8)> {
    let seed = std::process::id();
    for step in 0..200 {
        let net = (60 + ((seed / 200 + step) % 150) as u8, 1 + ((seed + step) % 200) as u8);
        let ip = |host| Ipv4Addr::new(127, net.0, net.1, host);
        let mut held = Vec::new();
        for (host, port) in [
            (1, CONTROL_PORT),
            (1, PAGES_PORT),
            (2, CONTROL_PORT),
            (3, CONTROL_PORT),
            (10, FRONT_PORT),
            (11, FRONT_PORT),
            (20, DATABASE_PORT),
            (PLATFORM, PLATFORM_PORT),
        ] {
            match TcpListener::bind((ip(host), port)) {
                Ok(listener) => held.push(listener),
                Err(_) => break,
            }
        }
        if held.len() == 8 {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

fn text_field(body: &str, name: &str) -> String {
    let start = body.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
    start.and_then(|at| body[at..].split('"').next()).unwrap_or_default().to_owned()
}

fn position_of(entry: &Entry) -> String {
    format!("{}.{}", entry.term, entry.number)
}

fn pair_of(entry: &Entry) -> (u64, u64) {
    (entry.term, entry.number)
}

fn parse_pair(text: &str) -> (u64, u64) {
    let (term, number) = text.split_once('.').unwrap_or(("0", "0"));
    (term.parse().unwrap_or(0), number.parse().unwrap_or(0))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Runs a case in the folder named by the first argument; `TROUBLE=0` leaves the disruption out.
/// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
pub fn run_case(case: impl FnOnce(&Path, bool) -> Result<Vec<String>, String>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case(&folder, trouble) {
        Ok(breaks) if breaks.is_empty() => {
            println!("the rule held");
            0
        }
        Ok(breaks) => {
            breaks.iter().take(10).for_each(|line| println!("broken: {line}"));
            1
        }
        Err(reason) => {
            println!("could not run: {reason}");
            2
        }
    };
    std::process::exit(code)
}
