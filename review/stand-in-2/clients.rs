//! Clients with sessions, and the operator.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{hosts::Network, http, record::Record};

/// A client's session with an entry host.
pub struct Session {
    reader: BufReader<TcpStream>,
}

impl Session {
    pub fn open(at: SocketAddr, database: &str, limit: Duration) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(format!("CONNECT {database} client\r\n").as_bytes())?;
        let mut session = Self { reader: BufReader::new(stream) };
        let line = session.line()?;
        match line.starts_with("READY") {
            true => Ok(session),
            false => Err(io::Error::other(line)),
        }
    }

    /// Runs a statement and returns the lines of its answer, READY included.
    pub fn run(&mut self, id: &str, text: &str) -> io::Result<Vec<String>> {
        self.reader.get_mut().write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            let ends = line.starts_with("READY");
            lines.push(line);
            if ends {
                return Ok(lines);
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }
}

/// A write of a client: when it was answered with success, and its id.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub at_ms: u64,
    pub id: String,
}

/// Clients that write all the time.
pub struct Writers {
    pub acknowledged: Arc<Mutex<Vec<Acknowledged>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub fn start(
        entries: Vec<SocketAddr>,
        database: &str,
        count: usize,
        pause: Duration,
        record: &Record,
    ) -> Self {
        let acknowledged = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|client| {
            let (acknowledged, stop) = (acknowledged.clone(), stop.clone());
            let (entries, database) = (entries.clone(), database.to_owned());
            let record = record.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    let at = entries[(client + number) % entries.len()];
                    let Ok(mut session) = Session::open(at, &database, Duration::from_secs(2))
                    else {
                        number += 1;
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("w{client}n{number}");
                        let answer = session.run(&id, &format!("WRITE i{client} v{number}"));
                        let words = match &answer {
                            Ok(lines) => lines.join(" / "),
                            Err(error) => format!("no answer: {error}"),
                        };
                        record.line(&format!("client {client} {id}: {words}"));
                        match &answer {
                            Ok(lines) if lines[0].starts_with("COMPLETE") => {
                                let at_ms = record.millis();
                                acknowledged.lock().unwrap().push(Acknowledged { at_ms, id });
                            }
                            Ok(_) => thread::sleep(Duration::from_millis(100)),
                            Err(_) => break,
                        }
                        thread::sleep(pause);
                    }
                }
            })
        });
        let threads = threads.collect();
        Self { acknowledged, stop, threads }
    }

    pub fn stop(self) -> Vec<Acknowledged> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let acknowledged = self.acknowledged.lock().unwrap();
        acknowledged.clone()
    }
}

/// Clients that read all the time.
pub struct Readers {
    served: Arc<Mutex<usize>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    pub fn start(
        entries: Vec<SocketAddr>,
        database: &str,
        count: usize,
        pause: Duration,
        record: &Record,
    ) -> Self {
        let (served, stop) = (Arc::new(Mutex::new(0)), Arc::new(AtomicBool::new(false)));
        let threads = (0..count).map(|client| {
            let (served, stop) = (served.clone(), stop.clone());
            let (at, database) = (entries[client % entries.len()], database.to_owned());
            let record = record.clone();
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    let limit = Duration::from_secs(2);
                    let Ok(mut session) = Session::open(at, &database, limit) else {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        number += 1;
                        let id = format!("r{client}n{number}");
                        let Ok(lines) = session.run(&id, &format!("READ i{client}")) else {
                            record.line(&format!("reader {client} {id}: no answer"));
                            break;
                        };
                        record.line(&format!("reader {client} {id}: {}", lines.join(" / ")));
                        if lines.iter().any(|line| line.starts_with("COMPLETE")) {
                            *served.lock().unwrap() += 1;
                        }
                        thread::sleep(pause);
                    }
                }
            })
        });
        let threads = threads.collect();
        Self { served, stop, threads }
    }

    /// Stops the clients; returns the number of reads that were served.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        *self.served.lock().unwrap()
    }
}

/// Sends a configuration until it is acknowledged.
pub fn replace_config(
    network: &Network,
    controls: &[u8],
    body: &str,
    limit: Duration,
    record: &Record,
) -> io::Result<()> {
    record.line(&format!("operator sends {body}"));
    let deadline = Instant::now() + limit;
    let mut turn = 0;
    while Instant::now() < deadline {
        let mut at = network.operator(controls[turn % controls.len()]);
        turn += 1;
        for _ in 0..3 {
            let answer = http::call(at, "POST", "/Config.Replace", body, Duration::from_secs(1));
            match answer {
                Ok(answer) if answer.status == 200 => {
                    record.line(&format!("{at} acknowledges the configuration"));
                    return Ok(());
                }
                Ok(answer) if answer.status == 307 => match answer.location {
                    Some(location) => at = location,
                    None => break,
                },
                Ok(answer) if answer.status < 500 => {
                    return Err(io::Error::other(answer.body));
                }
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(io::Error::other("no acknowledgement of the configuration"))
}

/// Reads the configuration back, again and again for `limit`; `None` if it never comes.
pub fn fetch_config(
    network: &Network,
    controls: &[u8],
    limit: Duration,
    record: &Record,
) -> Option<String> {
    let deadline = Instant::now() + limit;
    let mut turn = 0;
    while Instant::now() < deadline {
        let mut at = network.operator(controls[turn % controls.len()]);
        turn += 1;
        for _ in 0..3 {
            let answer = http::call(at, "GET", "/Config.Fetch", "", Duration::from_secs(1));
            match &answer {
                Ok(answer) => record.line(&format!("{at} answers the read: {}", answer.status)),
                Err(error) => record.line(&format!("{at} does not answer the read: {error}")),
            }
            match answer {
                Ok(answer) if answer.status == 200 => return Some(answer.body),
                Ok(answer) if answer.status == 307 => match answer.location {
                    Some(location) => at = location,
                    None => break,
                },
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Waits until an entry host reports itself ready.
pub fn wait_until_ready(at: SocketAddr, limit: Duration) -> io::Result<()> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        let answer = http::call(at, "GET", "/readiness", "", Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("an entry host did not become ready"))
}
