//! Data servers that read and write slowly: a long answer that is still being written is passed on whole, and a
//! request that a server does not take in time gets its final answer in time.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::wire::{query, read_message, ready_for_query, row, startup_response};
use rstest::rstest;
use support::*;

/// Number of pieces in which a server writes an answer.
const PIECES: usize = 17;
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// Length of a value, in bytes, whose statement does not fit into the socket buffers.
const LONG_VALUE_BYTES: usize = 1_500_000;

/// Accepts the proxy's next connection and completes its startup.
fn accept(server: &DelayedServer) -> TcpStream {
    let mut stream = server.accept();
    stream.write_all(&startup_response()).expect("the proxy keeps the connection open");
    stream
}

/// Guards against a long answer that is cut off while its server still writes it, also past the request's time.
#[rstest]
#[case::past_its_time(200_000, Duration::from_millis(200), 1000)]
#[case::with_long_pauses(200_000, Duration::from_millis(700), 1000)]
#[case::short_answer_in_time(60_000, Duration::from_millis(50), 1500)]
fn an_answer_that_a_server_writes_slowly_arrives_whole(
    #[case] bytes: usize,
    #[case] pause: Duration,
    #[case] timeout_ms: u64,
) {
    let server = DelayedServer::start();
    let config = config_with_extended_connect_timeout();
    let proxy = start_proxy_with_config(&config, &[server.endpoint("a", "read-write")], None);
    let mut client = Client::connect(&proxy);
    client.send(&query(&read_statement(timeout_ms)));
    let mut stream = accept(&server);
    assert_eq!(read_message(&mut stream).map(|message| message.0), Some(b'Q'));
    let value: Vec<u8> = (0..bytes).map(|i| (i % 251) as u8).collect();
    let answer = [row(&value), ready_for_query()].concat();
    let writing = thread::spawn(move || {
        for piece in answer.chunks(answer.len().div_ceil(PIECES)) {
            stream.write_all(piece).expect("the proxy keeps the connection open");
            thread::sleep(pause);
        }
    });
    let response = client.read_response();
    assert_eq!(message_kinds(&response), "TDCZ");
    assert!(response.iter().any(|message| message.0 == b'D' && message.1.ends_with(&value)));
    writing.join().expect("the server does not panic");
}

/// Guards against a final answer that waits for a server that reads a long request slowly.
#[test]
fn a_request_that_its_server_reads_slowly_is_answered_in_time() {
    let server = DelayedServer::start_with_receive_buffer(RECEIVE_BUFFER_BYTES);
    let config = config_with_extended_connect_timeout();
    let proxy = start_proxy_with_config(&config, &[server.endpoint("a", "read-write")], None);
    let mut client = Client::connect(&proxy);
    let value = format!(r"'\x{}'", "0".repeat(2 * LONG_VALUE_BYTES));
    let statement = query(&write_statement(1200).replace(r"'\x00'", &value));
    let mut writer = client.stream.try_clone().expect("the stream can be cloned");
    writer.write_all(&statement).expect("the proxy reads the statement");
    let sent_at = Instant::now();
    let mut stream = accept(&server);
    let reading = thread::spawn(move || {
        let mut bytes = [0; 2048];
        while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
            thread::sleep(Duration::from_millis(10));
        }
    });
    assert_eq!(message_kinds(&client.read_response()), "EZ");
    let time = sent_at.elapsed();
    assert!(time < Duration::from_millis(1200 + 500), "answered after {time:?}");
    drop(proxy);
    reading.join().expect("the server does not panic");
}
