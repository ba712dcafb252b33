//! Guards against changed answers of the port on which faults are set, which
//! scripts call.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornstack_decisions::{
    directory::DatabaseRole,
    identity::{DataCentre, DatabaseName, GroupName},
};
use hawthornstack_lab::{
    standalone::fault_routes,
    upstreams::{StandInDatabase, StandInSettings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const FAULTS: [&str; 7] =
    ["none", "stopped", "frozen", "cut_from_hosts", "cut_from_group", "isolated", "slow"];

/// A database that does not run: only its page is asked for.
fn database(name: &str, role: DatabaseRole) -> Arc<StandInDatabase> {
    let settings = StandInSettings {
        database: DatabaseName::new(name).expect("a name"),
        group: GroupName::new("books.1").expect("a name"),
        data_centre: DataCentre::new("north").expect("a name"),
        slots: 2,
        connections: 5,
        connection_cost: Duration::ZERO,
        service_time: Duration::ZERO,
        lag: Duration::ZERO,
        jitter: Duration::ZERO,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 5_432));
    Arc::new(StandInDatabase::new(settings, address, role).expect("a database"))
}

async fn start_port() -> SocketAddr {
    let databases =
        vec![database("books-1-a", DatabaseRole::Primary), database("b", DatabaseRole::Replica)];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async { axum::serve(listener, fault_routes(databases)).await });
    address
}

/// Status and body of the answer.
async fn call(port: SocketAddr, start: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "{start} HTTP/1.1\r\nhost: lab\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(port).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    let (head, answer) = answer.split_once("\r\n\r\n").expect("a head");
    let status = head.lines().next().unwrap_or_default();
    format!("{start} {body}\n    {status}\n    {}\n", answer.trim_end())
}

#[tokio::test]
async fn faults_are_set_and_shown() {
    let port = start_port().await;
    let mut text = String::new();
    for fault in FAULTS {
        let body = format!(r#"{{"database":"books-1-a","fault":"{fault}","delay_ms":40}}"#);
        text.push_str(&call(port, "POST /faults", &body).await);
        text.push_str(&call(port, "GET /databases", "").await);
    }
    insta::assert_snapshot!("faults", text);
}

#[tokio::test]
async fn refused_faults() {
    let port = start_port().await;
    let bodies = [
        r#"{"database":"nowhere","fault":"none"}"#,
        r#"{"database":"books-1-a","fault":"tired"}"#,
        r#"{"database":"books-1-a"}"#,
        r#"{"database":"books-1-a","fault":"none","later":1}"#,
    ];
    let mut text = String::new();
    for body in bodies {
        text.push_str(&call(port, "POST /faults", body).await);
    }
    insta::assert_snapshot!("refused", text);
}
