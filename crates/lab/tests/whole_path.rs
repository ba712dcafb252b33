//! End-to-end tests: PostgreSQL clients, real daemons, and stand-in databases with
//! replication lag.

use std::time::Duration;

use hawthornstack_decisions::outcomes::Outcome;
use hawthornstack_lab::cluster::{ClusterPlan, LabCaller, LabCluster, OperatorClient};

fn plan(lag: Duration) -> ClusterPlan {
    ClusterPlan::one_group(3, 3, lag, 7)
}

async fn connect(cluster: &LabCluster, daemon: usize, settings: &[&str]) -> LabCaller {
    let settings: Vec<String> = settings.iter().map(|setting| (*setting).to_owned()).collect();
    let address = cluster.caller_addresses()[daemon];
    LabCaller::connect(address, "shiftbook.1", &settings).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_own_writes() {
    let cluster = LabCluster::start(plan(Duration::from_millis(150))).await.unwrap();
    let first = connect(&cluster, 0, &["hawthornstack.session=worker-1"]).await;
    first.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    for round in 1..=10 {
        first.simple_query(&format!("INSERT INTO t VALUES ({round})")).await.unwrap();
        let other = connect(&cluster, round % 3, &["hawthornstack.session=worker-1"]).await;
        let found = other.simple_query("SELECT count(*) FROM t").await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some(round.to_string().as_str()));
        let token = first.simple_query("SHOW hawthornstack.token").await.unwrap();
        let token = token.row[0].clone().unwrap();
        let setting = format!("hawthornstack.token={token}");
        let third = connect(&cluster, (round + 1) % 3, &[&setting]).await;
        let found = third.simple_query("SELECT count(*) FROM t").await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some(round.to_string().as_str()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements() {
    let cluster = LabCluster::start(plan(Duration::from_millis(5))).await.unwrap();
    let mut caller = connect(&cluster, 0, &[]).await;
    caller.simple_query("CREATE TABLE t (a BIGINT PRIMARY KEY, b TEXT)").await.unwrap();
    let client = &mut caller.client;
    let insert = client.prepare("INSERT INTO t VALUES ($1::bigint, $2)").await.unwrap();
    for number in 0..20_i64 {
        assert_eq!(client.execute(&insert, &[&number, &"x"]).await.unwrap(), 1);
    }
    let select =
        client.prepare("SELECT a, b FROM t WHERE a < $1::bigint ORDER BY a").await.unwrap();
    let rows = client.query(&select, &[&5_i64]).await.unwrap();
    let numbers: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(numbers, [0, 1, 2, 3, 4]);

    let transaction = client.transaction().await.unwrap();
    transaction.execute(&insert, &[&100_i64, &"y"]).await.unwrap();
    transaction.rollback().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction.execute(&insert, &[&101_i64, &"y"]).await.unwrap();
    transaction.commit().await.unwrap();
    let rows = client.query("SELECT a FROM t WHERE b = 'y'", &[]).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].get::<_, i64>(0), 101);

    let duplicate = client.execute(&insert, &[&101_i64, &"z"]).await.unwrap_err();
    assert_eq!(duplicate.code().unwrap().code(), "23505");
    assert_eq!(client.query(&select, &[&3_i64]).await.unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_name_the_error() {
    let cluster = LabCluster::start(plan(Duration::from_millis(5))).await.unwrap();
    let address = cluster.caller_addresses()[0];
    let caller = connect(&cluster, 0, &[]).await;
    let bad = caller.simple_query("SET hawthornstack.max_age = '5'").await.unwrap_err();
    assert!(bad.text.contains("22023") && bad.text.contains("unit"), "{}", bad.text);
    let shown = caller.simple_query("SHOW hawthornstack.max_age").await.unwrap();
    assert_eq!(shown.row[0].as_deref(), Some("off"));
    let unsupported = caller.simple_query("SET work_mem = '1GB'").await.unwrap_err();
    assert!(unsupported.text.contains("0A000"), "{}", unsupported.text);

    let forged = ["hawthornstack.token=hs1~a~shiftbook.1~1~1~00000000000000000000000000000000"];
    let forged = forged.map(str::to_owned);
    let refused = LabCaller::connect(address, "shiftbook.1", &forged).await.err().unwrap();
    assert!(refused.text.contains("28000"), "{}", refused.text);

    let unknown_group = LabCaller::connect(address, "no-such.1", &[]).await.unwrap();
    let refused = unknown_group.simple_query("SELECT 1").await.unwrap_err();
    assert!(refused.text.contains("3D000"), "{}", refused.text);
    assert_eq!(refused.outcome, Outcome::DidNotRun);
    assert!(caller.simple_query("SELECT 1").await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn announcement_cannot_move_a_database() {
    let cluster = LabCluster::start(plan(Duration::from_millis(5))).await.unwrap();
    let caller = connect(&cluster, 0, &[]).await;
    caller.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    let real = &cluster.groups[0].databases[0];
    let mut forged = real.announcement(false);
    forged.address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for daemon in cluster.operator_addresses() {
        let sent = OperatorClient::announce(daemon, forged.clone()).await;
        assert!(sent, "the request succeeds, although the announcement is then ignored");
    }
    caller.simple_query("INSERT INTO t VALUES (1)").await.unwrap();
    for daemon in cluster.operator_addresses() {
        let status = OperatorClient::status(daemon).await.unwrap();
        let members: Vec<_> = status.groups.iter().flat_map(|group| &group.members).collect();
        assert_eq!(members.len(), 3);
        let known = members.iter().find(|m| m.database == real.settings.database).unwrap();
        assert_eq!(known.address, real.address);
    }
}
