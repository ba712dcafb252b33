//! A rolling release of a service with `sync_replicas` 1 beside a replica that receives
//! nothing for 6 s.

#[path = "../stand_in.rs"]
mod stand_in;

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stand_in::{Client, Deployment, Record, SERVICE, has_trouble, new_flag, run_case};

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(move || run(Path::new(&folder)))
}

/// Statement id and time of each acknowledged write.
type Acknowledged = Arc<Mutex<Vec<(String, Instant)>>>;

fn run(folder: &Path) {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-one","database":"ledger","path_prefix":"/","route_type":"primary","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"{SERVICE}","attempts":2}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":50,"protocol":"h1","tls":false,"sync_replicas":1}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}}}"#
    );
    let deployment = Deployment::start(folder, 2, 1, &config);
    deployment.group.sync_replicas.store(1, Ordering::Relaxed);
    deployment.wait_until_served(0, "ledger");
    let (acknowledged, ends) = (Acknowledged::default(), new_flag());
    let writer = {
        let (record, front) = (deployment.record.clone(), deployment.front(0));
        let (acknowledged, ends) = (acknowledged.clone(), ends.clone());
        thread::spawn(move || write_on(&record, front, &acknowledged, &ends))
    };
    thread::sleep(Duration::from_secs(2));
    // The release: first one replica, which says so with its next ping, then the primary.
    deployment.group.set_draining(1, false);
    let drained_from = deployment.group.wait_for_drain_ack(1);
    let wait_until = |seconds: f64| {
        let until = drained_from + Duration::from_secs_f64(seconds);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    wait_until(3.0);
    if has_trouble() {
        deployment.group.set_deaf(2, true);
    }
    wait_until(4.98);
    deployment.group.set_draining(0, true);
    wait_until(9.0);
    if has_trouble() {
        deployment.group.set_deaf(2, false);
    }
    wait_until(10.0);
    ends.store(true, Ordering::Relaxed);
    let _ = writer.join();
    let acknowledged = acknowledged.lock().expect("no panic").clone();
    let leads = deployment.group.leads.lock().expect("no panic").clone();
    let record = deployment.record.clone();
    record.line(format!("{} writes acknowledged, {} promotes", acknowledged.len(), leads.len()));
    if acknowledged.len() < 40 {
        stand_in::cannot_run(&record, "too few writes were acknowledged");
    }
    let lost = leads.iter().find_map(|lead| {
        let before = acknowledged.iter().filter(|(_, at)| *at < lead.at);
        let lost: Vec<&str> =
            before.filter(|(id, _)| !lead.held.contains(id)).map(|(id, _)| &**id).collect();
        let first = lost.first()?;
        let count = lost.len();
        let after = (lead.at - drained_from).as_secs_f64();
        Some(format!(
            "LOST: {after:.2} s after i-1 began to drain, {} was promoted without {count} acknowledged writes, the first is {first}",
            lead.id
        ))
    });
    deployment.finish(lost)
}

/// Writes one item after the other until the flag is set.
fn write_on(
    record: &Arc<Record>,
    front: std::net::SocketAddr,
    acknowledged: &Acknowledged,
    ends: &AtomicBool,
) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::open(record, "caller", front, "ledger") else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        loop {
            number += 1;
            let id = format!("w{number}");
            match client.run(&id, &format!("WRITE item{number} data{number}")) {
                Ok(answer) if answer.result.starts_with("COMPLETE") => {
                    acknowledged.lock().expect("no panic").push((id, Instant::now()));
                }
                Ok(_) => {}
                Err(_) => break,
            }
            if ends.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(40));
        }
    }
}
