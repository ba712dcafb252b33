//! The cases.

use std::{
    collections::HashSet, fs, io, net::SocketAddr, path::Path, thread::sleep, time::Duration,
};

use crate::{
    clients::{Writers, replace_config, wait_until_ready},
    databases::{Databases, Restarts, SERVICE},
    hosts::{CONTROLS, ENTRIES, Host, Network},
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
    replace_config(network, &config(7, sync_replicas), START_LIMIT, record)?;
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
