//! The cases.

use std::{
    collections::HashSet, fs, io, net::SocketAddr, path::Path, thread::sleep, time::Duration,
};

use crate::{
    clients::{Writers, fetch_config, replace_config, wait_until_ready},
    databases::{Databases, Restarts, SERVICE},
    hosts::{CONTROLS, ENTRIES, Host, NEW_CONTROL, Network},
    record::Record,
};

const DATABASE: &str = "lepu270";
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
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"database\":\"{DATABASE}\",\
         \"path_prefix\":\"/\",\"route_type\":\"primary\",\"timeout_ms\":1000,\
         \"target_latency_ms\":200,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
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
