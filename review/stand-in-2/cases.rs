//! The cases.

use std::{
    collections::HashSet,
    fs, io,
    net::SocketAddr,
    path::Path,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    clients::{Readers, Session, Writers, fetch_config, replace_config, wait_until_ready},
    databases::{Databases, Restarts, SERVICE},
    hosts::{CONTROLS, ENTRIES, Host, NEW_CONTROL, Network},
    record::Record,
};

const DATABASE: &str = "lepu270";
const BOUNDED_DATABASE: &str = "xapu221ny95";
const START_LIMIT: Duration = Duration::from_secs(15);

/// Plays a case; true if the rule held.
pub fn play(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let network = Network::find()?;
    let result = match case {
        // The replicas get the log commit by commit, and ping at once.
        "partial-log" => {
            let (first_ping, copy_after) = (Duration::ZERO, Duration::ZERO);
            let restarts = Restarts { first_ping, copy_after, copied_per_s: 500.0 };
            play_crash(&network, restarts, &record, trouble)
        }
        // The replicas get the whole log at once, and ping one interval after their start.
        "late-ping" => {
            let first_ping = Duration::from_millis(1_200);
            let copy_after = Duration::from_millis(2_500);
            let restarts = Restarts { first_ping, copy_after, copied_per_s: 1e9 };
            play_crash(&network, restarts, &record, trouble)
        }
        "cut-off" => play_cut_off(&network, &record, trouble),
        "no-primary" => play_no_primary(&network, &record, trouble),
        "short-leads" => play_short_leads(&network, &record, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match (&result, std::env::var_os("KEEP")) {
        (_, Some(_)) => println!("kept {}", network.folder.display()),
        _ => fs::remove_dir_all(&network.folder)?,
    }
    record.finish();
    result
}

fn config(version: u64, sync_replicas: usize) -> String {
    let route = |name: &str, database: &str, kind: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"database\":\"{database}\",\"path_prefix\":\"/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":1000,\"target_latency_ms\":200,\
             \"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2{more}}}"
        )
    };
    let primary = route("r-1", DATABASE, "primary", "");
    let staleness = ",\"max_staleness_ms\":1500";
    let bounded = route("r-2", BOUNDED_DATABASE, "bounded_staleness", staleness)
        .replace("\"timeout_ms\":1000", "\"timeout_ms\":3000");
    format!(
        "{{\"version\":{version},\"routes\":[{primary},{bounded}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":50,\
         \"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":{sync_replicas}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}}}"
    )
}

/// Starts three control hosts and two entry hosts, and sends the first configuration.
fn start_hosts(network: &Network, sync_replicas: usize, record: &Record) -> io::Result<Vec<Host>> {
    let mut hosts = Vec::new();
    for number in CONTROLS {
        hosts.push(Host::control(network, number, record)?);
    }
    for number in ENTRIES {
        hosts.push(Host::entry(network, number, record)?);
    }
    replace_config(network, &CONTROLS, &config(7, sync_replicas), START_LIMIT, record)?;
    for number in ENTRIES {
        wait_until_ready(network.ready(number), START_LIMIT)?;
    }
    Ok(hosts)
}

fn callers(network: &Network) -> Vec<SocketAddr> {
    ENTRIES.iter().map(|number| network.caller(*number)).collect()
}

/// All databases of a service whose commits are acknowledged by replicas crash. They are
/// back: after three seconds the replicas, under their ids and with nothing, and a second
/// later the primary, with its log. The replicas then get the primary's log.
fn play_crash(
    network: &Network,
    restarts: Restarts,
    record: &Record,
    trouble: bool,
) -> io::Result<bool> {
    const HISTORY: usize = 4_000;
    let databases = Databases::start(network, 3, HISTORY, restarts, 1, record)?;
    let hosts = start_hosts(network, 1, record)?;
    let writers = Writers::start(callers(network), DATABASE, 6, Duration::from_millis(20), record);
    sleep(Duration::from_secs(6));
    record.say(&format!("before the disruption: {}", databases.summary()));
    if trouble {
        (0..3).for_each(|index| databases.crash(index));
    }
    sleep(Duration::from_secs(3));
    if trouble {
        for index in [1, 2] {
            databases.restart(index)?;
        }
        sleep(Duration::from_secs(1));
        databases.restart(0)?;
    }
    sleep(Duration::from_secs(20));
    let acknowledged = writers.stop();
    drop(hosts);
    record.say(&format!("at the end: {}", databases.summary()));
    record.say(&format!("{} writes were acknowledged", acknowledged.len()));
    if acknowledged.len() < 100 {
        return Err(io::Error::other("too few writes were acknowledged"));
    }
    let mut held = true;
    for promotion in databases.promotions() {
        let kept: HashSet<&str> = promotion.log.iter().map(|commit| &*commit.id).collect();
        let before = acknowledged.iter().filter(|write| write.at_ms < promotion.at_ms);
        let lost = before.filter(|write| !kept.contains(&*write.id)).count();
        record.say(&format!(
            "{} was promoted with {} commits; acknowledged writes that it lacks: {lost}",
            promotion.id,
            promotion.log.len()
        ));
        held &= lost == 0;
    }
    Ok(held)
}

/// A control host is replaced by another one, which has run for eight seconds by then. The
/// processes of the others are killed several times meanwhile, so that no leader leads for
/// long. Then one machine loses its disk.
fn play_short_leads(network: &Network, record: &Record, trouble: bool) -> io::Result<bool> {
    const KILLS: u32 = 4;
    /// Time between the return of the processes and the next time that they are killed.
    const LEAD_TIME: Duration = Duration::from_millis(1_200);
    const RETURN_TIME: Duration = Duration::from_millis(200);
    const RECOVERY_TIME: Duration = Duration::from_secs(12);
    const READ_TIME: Duration = Duration::from_secs(8);
    let mut hosts = start_hosts(network, 0, record)?;
    let entries = hosts.split_off(CONTROLS.len());
    hosts.push(Host::joining_control(network, NEW_CONTROL, record)?);
    sleep(Duration::from_secs(8));
    let [first, second, gone, _] = [CONTROLS[0], CONTROLS[1], CONTROLS[2], NEW_CONTROL];
    let staying = [first, second, NEW_CONTROL];
    replace_config(network, &staying, &config(8, 0), START_LIMIT, record)?;
    record.say(&format!("version 8 is acknowledged; {} is removed", network.ip(gone)));
    hosts.remove(2).kill(record);
    for kill in 1..=KILLS {
        sleep(LEAD_TIME);
        if !trouble {
            sleep(RETURN_TIME);
            continue;
        }
        hosts.iter_mut().for_each(|host| host.kill(record));
        if kill == KILLS {
            hosts[1].lose_disk(record)?;
        }
        sleep(RETURN_TIME);
        for host in &mut hosts {
            host.restart(record)?;
        }
    }
    sleep(RECOVERY_TIME);
    let read = fetch_config(network, &staying, READ_TIME, record);
    let (held, words) = match &read {
        Some(body) if body.contains("\"version\":8,") => (true, "version 8"),
        Some(_) => (false, "another version"),
        None => (false, "nothing"),
    };
    record.say(&format!("read back 12 s after the last disruption: {words}"));
    let accepted = replace_config(network, &staying, &config(9, 0), READ_TIME, record).is_ok();
    record.say(&format!("version 9 is acknowledged: {accepted}"));
    drop((hosts, entries));
    Ok(held)
}

/// The primary of a service is lost for good while the whole system starts, before control
/// accepts pings. Its two replicas run all the time.
fn play_no_primary(network: &Network, record: &Record, trouble: bool) -> io::Result<bool> {
    const SERVE_TIME: Duration = Duration::from_secs(60);
    let restarts =
        Restarts { first_ping: Duration::ZERO, copy_after: Duration::ZERO, copied_per_s: 1e9 };
    let databases = Databases::start(network, 3, 100, restarts, 0, record)?;
    sleep(Duration::from_millis(100));
    if trouble {
        databases.crash(0);
    }
    let hosts = start_hosts(network, 0, record)?;
    let pause = Duration::from_millis(200);
    let writers = Writers::start(callers(network), DATABASE, 4, pause, record);
    let readers = Readers::start(callers(network), BOUNDED_DATABASE, 4, pause, record);
    sleep(SERVE_TIME);
    let (writes, reads) = (writers.stop().len(), readers.stop());
    drop(hosts);
    record.say(&format!("at the end: {}", databases.summary()));
    record.say(&format!("promotions: {}", databases.promotions().len()));
    record.say(&format!("writes served in 60 s: {writes}, reads served: {reads}"));
    Ok(writes + reads > 0)
}

/// The databases of a service are released one after the other, half a second apart: they
/// drain, serve on for eleven seconds and leave, and new ones take their logs and addresses. An
/// entry host is stopped meanwhile; its sessions send one read each.
fn play_cut_off(network: &Network, record: &Record, trouble: bool) -> io::Result<bool> {
    const SESSIONS: u64 = 150;
    /// Time between the reads of two sessions.
    const SPACING: Duration = Duration::from_millis(20);
    /// Time between the drains of two databases.
    const GAP: Duration = Duration::from_millis(500);
    /// Time from the first drain to the stop of the entry host.
    const STOP_AFTER: Duration = Duration::from_millis(5_000);
    /// Time from the drain of a database to its end.
    const END_AFTER: Duration = Duration::from_secs(11);
    let restarts =
        Restarts { first_ping: Duration::ZERO, copy_after: Duration::ZERO, copied_per_s: 1e9 };
    let databases = Databases::start(network, 3, 100, restarts, 0, record)?;
    let mut hosts = start_hosts(network, 0, record)?;
    let stopped = hosts.remove(CONTROLS.len());
    let at = network.caller(ENTRIES[0]);
    sleep(Duration::from_secs(2));
    let began = Instant::now();
    if trouble {
        for index in 0..3 {
            databases.drain(index);
            sleep(GAP);
        }
        record.say("the databases drain");
    }
    let threads: Vec<thread::JoinHandle<io::Result<Option<String>>>> = (0..SESSIONS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let limit = Duration::from_secs(12);
                let mut session = Session::open(at, BOUNDED_DATABASE, limit)?;
                let warm = session.run(&format!("first{number}"), "READ i0")?;
                let due = STOP_AFTER + SPACING * number as u32;
                sleep(due.saturating_sub(began.elapsed()));
                let (id, sent) = (format!("c{number}"), Instant::now());
                let answer = session.run(&id, "READ i0");
                let took = sent.elapsed().as_millis();
                let words = match &answer {
                    Ok(lines) => lines.join(" / "),
                    Err(error) => format!("no answer: {error}"),
                };
                record.line(&format!("{id}, {}: after {took} ms {words}", warm.len()));
                // Sessions without a request are closed, and may be so just as one is sent.
                let cut = answer.is_err() && (1_000..2_990).contains(&took);
                Ok(cut.then(|| format!("{id} ends after {took} ms: {words}")))
            })
        })
        .collect();
    sleep(STOP_AFTER.saturating_sub(began.elapsed()));
    stopped.terminate(record);
    sleep(END_AFTER.saturating_sub(began.elapsed()));
    if trouble {
        for index in 0..3 {
            databases.replace(index)?;
            sleep(GAP);
        }
    }
    let mut cut = Vec::new();
    for thread in threads {
        if let Ok(Ok(found)) = thread.join() {
            cut.extend(found);
        }
    }
    sleep(Duration::from_secs(3));
    drop((hosts, stopped));
    cut.iter().for_each(|words| record.say(words));
    record.say(&format!("{} reads of {SESSIONS} got no answer", cut.len()));
    Ok(cut.is_empty())
}
