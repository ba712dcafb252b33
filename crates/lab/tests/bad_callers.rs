//! Callers that break the protocol or vanish; no other caller notices.

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

/// Sends bytes and returns all that comes back before the daemon closes, or
/// what came before this end closes.
async fn send(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

fn startup(parameters: &str) -> Vec<u8> {
    let body = parameters.replace('|', "\0");
    let mut packet = (body.len() as u32 + 9).to_be_bytes().to_vec();
    packet.extend_from_slice(&196_608_u32.to_be_bytes());
    packet.extend_from_slice(body.as_bytes());
    packet.push(0);
    packet
}

fn contains(answer: &[u8], text: &str) -> bool {
    answer.windows(text.len()).any(|at| at == text.as_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_gets_an_error() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let other = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();

    assert!(contains(&send(address, b"GET / HTTP/1.1\r\n\r\n").await, "08P01"));
    let mut huge = startup("user|a|database|shiftbook.1|");
    huge.extend_from_slice(b"Q\x7f\xff\xff\xffSELECT");
    let answer = send(address, &huge).await;
    assert!(contains(&answer, "larger than"), "an oversized message is refused unread");
    let mut tiny = startup("user|a|database|shiftbook.1|");
    tiny.extend_from_slice(b"Q\0\0\0\x01");
    assert!(contains(&send(address, &tiny).await, "08P01"));
    let bad = startup("user|a|database|shiftbook.1|hawthornstack.max_age|soon|");
    assert!(contains(&send(address, &bad).await, "22023"));
    let outside = startup("user|a|database|shiftbook.1|hawthornstack.forward_state|{}|");
    assert!(contains(&send(address, &outside).await, "22023"), "only hosts hand over state");
    assert!(other.simple_query("SELECT 1").await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_noise() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let other = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    let mut runner = TestRunner::deterministic();
    let noise = prop::collection::vec(any::<u8>(), 0..200);
    for round in 0..300 {
        let mut bytes = match round % 2 {
            0 => Vec::new(),
            _ => startup("user|a|database|shiftbook.1|"),
        };
        bytes.extend(noise.new_tree(&mut runner).unwrap().current());
        tokio::time::timeout(Duration::from_secs(20), send(address, &bytes))
            .await
            .expect("the daemon ends a broken connection");
    }
    assert!(other.simple_query("SELECT 1").await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn vanishes_in_transaction() {
    let cluster = start().await;
    let address = cluster.caller_addresses()[0];
    let other = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
    other.simple_query("CREATE TABLE t (a BIGINT)").await.unwrap();
    for _ in 0..20 {
        let caller = LabCaller::connect(address, "shiftbook.1", &[]).await.unwrap();
        caller.simple_query("BEGIN").await.unwrap();
        caller.simple_query("INSERT INTO t VALUES (1)").await.unwrap();
        drop(caller);
    }
    other.simple_query("INSERT INTO t VALUES (2)").await.unwrap();
    let found = other.simple_query("SELECT count(*) FROM t WHERE a = 1").await.unwrap();
    assert_eq!(found.row[0].as_deref(), Some("0"), "nobody commits for a caller that is gone");
}
