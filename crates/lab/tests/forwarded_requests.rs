//! Daemons that are not gateways of a group serve its callers too: they forward
//! the requests to a gateway.

use std::time::Duration;

use hawthornstack_lab::{
    cluster::{ClusterPlan, LabCaller, LabCluster},
    upstreams::Fault,
};

async fn start() -> LabCluster {
    let plan = ClusterPlan::one_group(6, 2, Duration::from_millis(100), 5);
    LabCluster::start(plan).await.unwrap()
}

async fn connect(cluster: &LabCluster, daemon: usize, settings: &[String]) -> LabCaller {
    let address = cluster.caller_addresses()[daemon];
    LabCaller::connect(address, "shiftbook.1", settings).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_reads_own_writes() {
    let cluster = start().await;
    let session = ["hawthornstack.session=roamer".to_owned()];
    let first = connect(&cluster, 0, &session).await;
    first.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    for round in 1..=12 {
        let writer = connect(&cluster, round % 6, &session).await;
        let sql = "INSERT INTO t VALUES ($1::bigint)";
        assert_eq!(writer.client.execute(sql, &[&(round as i64)]).await.unwrap(), 1);
        let reader = connect(&cluster, (round + 1) % 6, &session).await;
        let found = reader.simple_query("SELECT count(*) FROM t").await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some(round.to_string().as_str()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_and_request_keys() {
    let cluster = start().await;
    connect(&cluster, 0, &[]).await.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    for daemon in 0..6 {
        let mut caller = connect(&cluster, daemon, &[]).await;
        let transaction = caller.client.transaction().await.unwrap();
        transaction.execute("INSERT INTO t VALUES (1)", &[]).await.unwrap();
        transaction.rollback().await.unwrap();
        let transaction = caller.client.transaction().await.unwrap();
        transaction.execute("INSERT INTO t VALUES (2)", &[]).await.unwrap();
        transaction.commit().await.unwrap();
        let keyed = "/* hawthornstack: request_key=once */ INSERT INTO t VALUES (3)";
        assert_eq!(caller.simple_query(keyed).await.unwrap().changed, 1);
        let bad = caller.simple_query("SELECT nothing FROM nowhere").await.unwrap_err();
        assert!(bad.text.starts_with("42"), "{}", bad.text);
    }
    let caller = connect(&cluster, 5, &[]).await;
    let count = "SELECT count(*) FROM t WHERE a = ";
    for (value, expected) in [(1, "0"), (2, "6"), (3, "1")] {
        let found = caller.simple_query(&format!("{count}{value}")).await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some(expected), "rows of {value}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_during_primary_change() {
    let cluster = start().await;
    let callers = [connect(&cluster, 0, &[]).await, connect(&cluster, 5, &[]).await];
    callers[0].simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    cluster.groups[0].primary().unwrap().faults.set(Fault::Frozen);
    for caller in &callers {
        let keyed = "/* hawthornstack: request_key=after */ INSERT INTO t VALUES (1)";
        assert_eq!(caller.simple_query(keyed).await.unwrap().changed, 1);
        let found = caller.simple_query("SELECT count(*) FROM t").await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some("1"));
    }
}
