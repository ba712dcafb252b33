//! Just enough HTTP/1.1 for the operator, the databases' pings and the platform's API.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// What a server answered: status, address of a redirect, body.
pub struct Answer {
    pub status: u16,
    pub location: Option<SocketAddr>,
    pub body: String,
}

/// Sends one request on a connection of its own.
pub fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&at, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes)?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let rest = name.eq_ignore_ascii_case("location").then_some(value)?;
        rest.strip_prefix("http://")?.split('/').next()?.parse().ok()
    });
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Answer { status, location, body: body.to_owned() })
}

/// Serves requests, one a connection. `handle` gets the head and the body, and returns
/// the status.
pub fn serve(
    at: SocketAddr,
    handle: impl Fn(&str, &str) -> u16 + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_one(stream, handle));
        }
    });
    Ok(())
}

fn serve_one(mut stream: TcpStream, handle: impl Fn(&str, &str) -> u16) -> Option<()> {
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                let status = handle(head, body);
                let answer = format!("HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\n{{}}");
                return stream.write_all(answer.as_bytes()).ok();
            }
        }
        match stream.read(&mut buffer).ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The text of a field of a flat JSON object.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    rest.split('"').next().map(str::to_owned)
}

/// The value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
