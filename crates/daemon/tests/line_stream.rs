//! Lines of the line protocol, read from a connection that delivers them in arbitrary pieces.

use std::{io, net::Ipv4Addr};

use hawthornstack_daemon::links::{LineStream, LineTooLong, MAX_LINE_BYTES};
use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Sends the pieces in order and closes the connection; returns the stream that reads them and
/// the task that sends.
async fn open_stream(pieces: Vec<Vec<u8>>) -> (LineStream, JoinHandle<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sender = tokio::spawn(async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("a socket option");
        for piece in pieces {
            // The reader closes the connection at a line that is too long.
            if stream.write_all(&piece).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
    });
    let (stream, _) = listener.accept().await.expect("a connection");
    (LineStream::new(stream), sender)
}

/// Reads lines until the connection ends or fails.
async fn read_lines(lines: &mut LineStream) -> (Vec<Vec<u8>>, Option<io::Error>) {
    let mut read = Vec::new();
    loop {
        match lines.next_line().await {
            Ok(Some(line)) => read.push(line.to_vec()),
            Ok(None) => return (read, None),
            Err(error) => return (read, Some(error)),
        }
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test)
}

/// Cuts `bytes` into pieces of these lengths in turn.
fn cut(mut bytes: &[u8], lengths: &[usize]) -> Vec<Vec<u8>> {
    let mut pieces = Vec::new();
    for length in lengths.iter().cycle() {
        if bytes.is_empty() {
            return pieces;
        }
        let (piece, rest) = bytes.split_at(bytes.len().min(*length));
        pieces.push(piece.to_vec());
        bytes = rest;
    }
    pieces
}

/// Leaves out each LF that follows a CR: together they would end the line.
fn without_line_ends(bytes: &[u8]) -> Vec<u8> {
    let mut line = Vec::new();
    for byte in bytes {
        if *byte != b'\n' || line.last() != Some(&b'\r') {
            line.push(*byte);
        }
    }
    line
}

/// A line whose length differs from the longest allowed one by `difference`.
fn line_near_limit(difference: isize) -> Vec<u8> {
    vec![b'y'; MAX_LINE_BYTES.strict_add_signed(difference)]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..Default::default()
    })]

    /// A CR or LF alone must neither end a line nor be dropped from it, wherever a read ends.
    #[test]
    fn lines_arrive_unchanged(
        lines in vec(vec(select(b"ab \r\n".to_vec()), 0..12), 1..12),
        lengths in vec(1_usize..9, 1..6),
    ) {
        let lines: Vec<Vec<u8>> = lines.iter().map(|line| without_line_ends(line)).collect();
        let bytes: Vec<u8> = lines.iter().flat_map(|line| [line, &b"\r\n"[..]].concat()).collect();
        let (read, error) = run(async {
            let (mut stream, _) = open_stream(cut(&bytes, &lengths)).await;
            read_lines(&mut stream).await
        });
        prop_assert!(error.is_none(), "{error:?}");
        prop_assert_eq!(read, lines);
    }
}

/// The limit was checked between reads only, so that it depended on the size of a read: lines of
/// 1.4 MB were accepted.
#[test]
fn length_limit_holds_for_every_piece_size() {
    for difference in [-3, -2, -1, 0, 1, 2, 400_000] {
        let line = line_near_limit(difference);
        let bytes = [b"first\r\n", &line[..], b"\r\nlast\r\n"].concat();
        for lengths in [&[usize::MAX][..], &[7, MAX_LINE_BYTES + 1], &[64 * 1024], &[3, 1_448]] {
            let (read, error) = run(async {
                let (mut stream, _) = open_stream(cut(&bytes, lengths)).await;
                read_lines(&mut stream).await
            });
            let context = format!("{difference} in pieces of {lengths:?}: {error:?}");
            assert_eq!(read[0], b"first", "{context}");
            if difference > 0 {
                assert!(error.as_ref().is_some_and(LineTooLong::caused), "{context}");
                assert_eq!(read.len(), 1, "{context}");
            } else {
                assert!(error.is_none(), "{context}");
                assert!(read[1] == line && read[2] == b"last", "{context}");
            }
        }
    }
}

/// The rest of a line that is too long must never be read as a line of its own.
#[test]
fn nothing_is_read_after_an_overlong_line() {
    run(async {
        let bytes = [&line_near_limit(1)[..], b"\r\nQUERY 1 WRITE a b\r\n"].concat();
        let (mut stream, sender) = open_stream(vec![bytes]).await;
        for _ in 0..3 {
            let error = stream.next_line().await.expect_err("the line is too long");
            assert!(LineTooLong::caused(&error), "{error}");
            assert_eq!(stream.take_buffered_line(), Err(LineTooLong));
        }
        drop(stream);
        sender.await.expect("no panic");
    });
}
