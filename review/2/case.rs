//! Two planned replacements of control hosts, the new one first each time, and a disk that
//! is lost 20 s after them.

#[path = "../stand_in.rs"]
mod stand_in;

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use stand_in::{Deployment, SERVICE, has_trouble, operator_call, operator_order, run_case};

/// `bounds.catch_up_s`.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `bounds.recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Twice `bounds.contact_ms`.
const READ_BACK: Duration = Duration::from_secs(8);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    run_case(move || run(Path::new(&folder)))
}

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-one","database":"ledger","path_prefix":"/","route_type":"primary","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"{SERVICE}","attempts":2}}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":50,"protocol":"h1","tls":false,"sync_replicas":0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000}}}}"#
    )
}

/// Starts a new control host, leaves it twice its time to catch up, and then removes an
/// old one for good.
fn replace(deployment: &mut Deployment, old: usize, new: u8) {
    let record = deployment.record.clone();
    deployment.add_control(new);
    thread::sleep(2 * CATCH_UP);
    deployment.control[old].signal(&record, "TERM");
    if !deployment.control[old].wait_for_end(Duration::from_secs(6)) {
        stand_in::cannot_run(&record, "a control host did not end within grace_s");
    }
    record.line(format!("{} is removed", deployment.control[old].name));
    deployment.seeds[old] = new;
}

fn run(folder: &Path) {
    let mut deployment = Deployment::start(folder, 3, 1, &config(7));
    deployment.wait_until_served(0, "ledger");
    let record = deployment.record.clone();
    replace(&mut deployment, 2, 4);
    thread::sleep(Duration::from_millis(500));
    replace(&mut deployment, 1, 5);
    let left = [1, 4, 5].map(|number| deployment.control_address(number));
    let answer = operator_order(&record, &left, "POST", "/Config.Replace", &config(9));
    if answer.status != 200 {
        stand_in::cannot_run(&record, "version 9 was not acknowledged");
    }
    record.line("version 9 is acknowledged");
    thread::sleep(Duration::from_secs(20));
    if has_trouble() {
        deployment.lose_disk(0, Duration::from_millis(500));
    }
    // All machines are back. The rules that are suspended hold again after recovery_s.
    thread::sleep(RECOVERY);
    let end = Instant::now() + READ_BACK;
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        read = operator_call(&record, &left, "GET", "/Config.Fetch", "")
            .filter(|answer| answer.status == 200);
        thread::sleep(Duration::from_millis(300));
    }
    let ready = deployment.is_ready(0);
    record.line(format!("the entry host is ready: {ready}"));
    let broken = match read {
        Some(answer) if answer.body == config(9) => None,
        Some(_) => Some("CONFIG: another configuration than version 9 was read back".to_owned()),
        None => Some(format!(
            "CONFIG: the acknowledged version 9 did not come in {} s after recovery_s; entry host ready: {ready}",
            READ_BACK.as_secs()
        )),
    };
    deployment.finish(broken)
}
