//! A write with a request key runs at most once, even if it is repeated through
//! several daemons or after a change of primary.

use std::time::Duration;

use hawthornstack_lab::{
    cluster::{ClusterPlan, LabCaller, LabCluster},
    upstreams::Fault,
};

async fn start() -> LabCluster {
    let plan = ClusterPlan::one_group(3, 3, Duration::from_millis(10), 3);
    LabCluster::start(plan).await.unwrap()
}

async fn connect(cluster: &LabCluster, daemon: usize) -> LabCaller {
    LabCaller::connect(cluster.caller_addresses()[daemon], "shiftbook.1", &[]).await.unwrap()
}

const CLAIM: &str = "/* hawthornstack: request_key=claim-1 */ UPDATE counter SET value = value + 1 \
                     RETURNING value";

#[tokio::test(flavor = "multi_thread")]
async fn repeats_get_the_first_result() {
    let cluster = start().await;
    let first = connect(&cluster, 0).await;
    first.simple_query("CREATE TABLE counter (value BIGINT)").await.unwrap();
    first.simple_query("INSERT INTO counter VALUES (0)").await.unwrap();
    let other = connect(&cluster, 1).await;
    let (a, b) = tokio::join!(first.simple_query(CLAIM), other.simple_query(CLAIM));
    assert_eq!(a.unwrap().row[0].as_deref(), Some("1"));
    assert_eq!(b.unwrap().row[0].as_deref(), Some("1"));

    let reused = other
        .simple_query("/* hawthornstack: request_key=claim-1 */ UPDATE counter SET value = 9")
        .await
        .unwrap_err();
    assert!(reused.text.contains("305"), "{}", reused.text);

    cluster.groups[0].primary().unwrap().faults.set(Fault::Stopped);
    let third = connect(&cluster, 2).await;
    assert_eq!(third.simple_query(CLAIM).await.unwrap().row[0].as_deref(), Some("1"));
    let value = third.simple_query("SELECT value FROM counter").await.unwrap();
    assert_eq!(value.row[0].as_deref(), Some("1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_statement_stores_no_key() {
    let cluster = start().await;
    let caller = connect(&cluster, 0).await;
    caller.simple_query("CREATE TABLE seats (seat BIGINT PRIMARY KEY)").await.unwrap();
    caller.simple_query("INSERT INTO seats VALUES (1)").await.unwrap();
    let duplicate = "/* hawthornstack: request_key=k */ INSERT INTO seats VALUES (1)";
    let refused = caller.simple_query(duplicate).await.unwrap_err();
    assert!(refused.text.starts_with("23505"), "{}", refused.text);
    caller.simple_query("DELETE FROM seats").await.unwrap();
    assert_eq!(caller.simple_query(duplicate).await.unwrap().changed, 1);
}
