//! Pins the responses of the fault port, because scripts depend on them.

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

/// A database without a listener: the fault port only reads and sets its state.
fn database(name: &str, role: DatabaseRole) -> Arc<StandInDatabase> {
    let settings = StandInSettings {
        database: DatabaseName::new(name).expect("valid name"),
        group: GroupName::new("books.1").expect("valid name"),
        data_centre: DataCentre::new("north").expect("valid name"),
        slots: 2,
        connections: 5,
        connection_cost: Duration::ZERO,
        service_time: Duration::ZERO,
        lag: Duration::ZERO,
        jitter: Duration::ZERO,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 5_432));
    Arc::new(StandInDatabase::new(settings, address, role).expect("open the SQL engines"))
}

async fn start_fault_port() -> SocketAddr {
    let databases =
        vec![database("books-1-a", DatabaseRole::Primary), database("b", DatabaseRole::Replica)];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("local address of the listener");
    tokio::spawn(async { axum::serve(listener, fault_routes(databases)).await });
    address
}

/// Sends one request; returns it with the status line and body of the response.
async fn send_request(port: SocketAddr, method_and_path: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "{method_and_path} HTTP/1.1\r\nhost: lab\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(port).await.expect("connect to the fault port");
    stream.write_all(request.as_bytes()).await.expect("send the request");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("read the response");
    let (head, body_text) = response.split_once("\r\n\r\n").expect("end of the response headers");
    let status = head.lines().next().unwrap_or_default();
    format!("{method_and_path} {body}\n    {status}\n    {}\n", body_text.trim_end())
}

#[tokio::test]
async fn faults_are_set_and_shown() {
    let port = start_fault_port().await;
    let mut text = String::new();
    for fault in FAULTS {
        let body = format!(r#"{{"database":"books-1-a","fault":"{fault}","delay_ms":40}}"#);
        text.push_str(&send_request(port, "POST /faults", &body).await);
        text.push_str(&send_request(port, "GET /databases", "").await);
    }
    insta::assert_snapshot!("faults", text);
}

#[tokio::test]
async fn refused_faults() {
    let port = start_fault_port().await;
    let bodies = [
        r#"{"database":"nowhere","fault":"none"}"#,
        r#"{"database":"books-1-a","fault":"tired"}"#,
        r#"{"database":"books-1-a"}"#,
        r#"{"database":"books-1-a","fault":"none","later":1}"#,
    ];
    let mut text = String::new();
    for body in bodies {
        text.push_str(&send_request(port, "POST /faults", body).await);
    }
    insta::assert_snapshot!("refused", text);
}
