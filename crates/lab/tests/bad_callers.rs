//! Protocol errors and lost connections of one caller do not affect other callers.

use std::{net::SocketAddr, time::Duration};

use hawthornstack_lab::{
    cluster::{ClusterPlan, LabCaller, LabCluster},
    deployments::{Deployment, DeploymentName},
};
use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn start() -> LabCluster {
    let deployment =
        Deployment { instances: 1, databases: 1, ..Deployment::named(DeploymentName::LoneStar) };
    let plan = ClusterPlan { deployment, daemons: 1, voters: 1, gateways_per_group: 1, seed: 2 };
    LabCluster::start(plan).await.unwrap()
}

/// Sends bytes, closes the sending side, and returns all that the daemon sends
/// until the connection closes or fails.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

/// Encodes a startup message; `|` ends each name and value.
fn startup_message(parameters: &str) -> Vec<u8> {
    let body = parameters.replace('|', "\0");
    let mut packet = (body.len() as u32 + 9).to_be_bytes().to_vec();
    packet.extend_from_slice(&196_608_u32.to_be_bytes());
    packet.extend_from_slice(body.as_bytes());
    packet.push(0);
    packet
}

fn contains(answer: &[u8], text: &str) -> bool {
    answer.windows(text.len()).any(|window| window == text.as_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_get_an_error() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let healthy_caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();

    assert!(contains(&send_bytes(address, b"GET / HTTP/1.1\r\n\r\n").await, "08P01"));
    let mut oversized = startup_message("user|a|database|shiftbook.1|");
    oversized.extend_from_slice(b"Q\x7f\xff\xff\xffSELECT");
    let answer = send_bytes(address, &oversized).await;
    assert!(contains(&answer, "larger than"), "an oversized message is refused unread");
    let mut undersized = startup_message("user|a|database|shiftbook.1|");
    undersized.extend_from_slice(b"Q\0\0\0\x01");
    assert!(contains(&send_bytes(address, &undersized).await, "08P01"));
    let invalid_age = startup_message("user|a|database|shiftbook.1|hawthornstack.max_age|soon|");
    assert!(contains(&send_bytes(address, &invalid_age).await, "22023"));
    let forged_state =
        startup_message("user|a|database|shiftbook.1|hawthornstack.forward_state|{}|");
    assert!(
        contains(&send_bytes(address, &forged_state).await, "22023"),
        "only hosts may send forwarded state"
    );
    assert!(healthy_caller.simple_query("SELECT 1").await.is_ok());
}

/// Encodes a query message.
fn query_message(sql: &str) -> Vec<u8> {
    let mut packet = b"Q".to_vec();
    packet.extend_from_slice(&(sql.len() as u32 + 5).to_be_bytes());
    packet.extend_from_slice(sql.as_bytes());
    packet.push(0);
    packet
}

/// A statement that another host forwards ran with the state of an earlier session if the gateway
/// refused the state that was sent with it.
#[tokio::test(flavor = "multi_thread")]
async fn statement_does_not_run_without_its_forwarded_state() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let healthy_caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    healthy_caller.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    let state = r#"{"session":"s1","named":true,"user":"a","mark":{"term":0,"offset":0},
        "max_age":null,"request_key":null,"timeout":{"secs":5,"nanos":0}}"#;
    for (first, second, expected) in [(state, state, 2), (state, "{}", 1), ("{}", state, 1)] {
        healthy_caller.simple_query("DELETE FROM t").await.unwrap();
        let mut bytes = startup_message("user|a|database|shiftbook.1|hawthornstack_forward|1|");
        for state in [first, second] {
            let set = format!("SET hawthornstack.forward_state = '{state}'");
            bytes.extend_from_slice(&query_message(&set));
            bytes.extend_from_slice(&query_message("INSERT INTO t VALUES (1)"));
        }
        bytes.extend_from_slice(b"X\0\0\0\x04");
        // The daemon closes the connection at the last message; a closed sending side would
        // cancel the statement before it.
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        let refused = contains(&answer, "hawthornstack result");
        assert_eq!(refused, expected < 2, "{}", String::from_utf8_lossy(&answer));
        let found = healthy_caller.simple_query("SELECT count(*) FROM t").await.unwrap();
        assert_eq!(found.row[0].as_deref(), Some(expected.to_string().as_str()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn random_bytes_end_the_connection() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let healthy_caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    let mut runner = TestRunner::deterministic();
    let random_bytes = prop::collection::vec(any::<u8>(), 0..200);
    for round in 0..300 {
        let mut bytes = match round % 2 {
            0 => Vec::new(),
            _ => startup_message("user|a|database|shiftbook.1|"),
        };
        bytes.extend(random_bytes.new_tree(&mut runner).unwrap().current());
        tokio::time::timeout(Duration::from_secs(20), send_bytes(address, &bytes))
            .await
            .expect("the daemon ends a broken connection");
    }
    assert!(healthy_caller.simple_query("SELECT 1").await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_connection_rolls_back() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let healthy_caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    healthy_caller.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    for _ in 0..20 {
        let caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
        caller.simple_query("BEGIN").await.unwrap();
        caller.simple_query("INSERT INTO t VALUES (1)").await.unwrap();
        drop(caller);
    }
    healthy_caller.simple_query("INSERT INTO t VALUES (2)").await.unwrap();
    let count = healthy_caller.simple_query("SELECT count(*) FROM t WHERE a = 1").await.unwrap();
    assert_eq!(
        count.row[0].as_deref(),
        Some("0"),
        "the transaction of a lost connection is not committed"
    );
}
