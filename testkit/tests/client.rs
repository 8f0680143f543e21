//! The client against scripted proxies that close its connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pipittack_testkit::client::{Client, Request, Response};
use pipittack_testkit::wire::{message, read_message, row};

/// Time within which a scripted proxy must have received a statement, or have closed a connection.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// What a scripted proxy does on one connection.
#[derive(Clone, Copy)]
enum Step {
    /// Reads a statement and answers it.
    Answer,
    /// Reads a statement and closes the connection without an answer.
    CloseAfterReading,
    /// Closes the connection without reading further.
    Close,
}

/// A proxy that runs one script on each connection, in the order of the connections. Sends a message for each
/// statement that it reads and for each connection that it closes.
fn start_proxy(scripts: Vec<Vec<Step>>) -> (SocketAddr, mpsc::Receiver<Step>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, steps_done) = mpsc::channel();
    thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().expect("the client connects");
            run_script(stream, &script, &sender);
        }
    });
    (address, steps_done)
}

fn run_script(mut stream: TcpStream, script: &[Step], done: &mpsc::Sender<Step>) {
    read_startup(&mut stream);
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).expect("the client reads");
    for step in script {
        if !matches!(step, Step::Close) && read_message(&mut stream).is_none() {
            return;
        }
        if matches!(step, Step::Answer) {
            stream.write_all(&[row(b"v"), message(b'Z', b"I")].concat()).expect("the client reads");
        } else {
            stream.shutdown(std::net::Shutdown::Both).expect("the connection is open");
        }
        done.send(*step).expect("the test is running");
    }
}

fn read_startup(stream: &mut TcpStream) {
    use std::io::Read;
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("the client sends its startup");
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("the client sends its startup");
}

fn request(id: &str, is_write: bool) -> Request<'_> {
    let class = if is_write { "usage-write" } else { "font-lookup" };
    Request { id, class, is_write, group: 1, max_wait: STEP_TIMEOUT, response_slack: Duration::ZERO }
}

/// Guards against a client that hides a proxy's fault: a write whose connection ends may have been forwarded.
#[test]
fn a_write_is_not_sent_again_after_its_connection_was_closed() {
    let scripts = vec![vec![Step::Answer, Step::CloseAfterReading], vec![Step::Answer]];
    let (address, _steps_done) = start_proxy(scripts);
    let mut client = Client::new(address);
    assert_eq!(client.send(&request("a", true)).response, Response::Served);
    assert_eq!(client.send(&request("b", true)).response, Response::Unanswered);
}

#[test]
fn a_read_is_sent_again_after_its_connection_was_closed() {
    let scripts = vec![vec![Step::Answer, Step::CloseAfterReading], vec![Step::Answer]];
    let (address, _steps_done) = start_proxy(scripts);
    let mut client = Client::new(address);
    assert_eq!(client.send(&request("a", true)).response, Response::Served);
    assert_eq!(client.send(&request("b", false)).response, Response::Served);
}

#[test]
fn a_write_uses_a_new_connection_if_the_idle_one_was_closed() {
    let scripts = vec![vec![Step::Answer, Step::Close], vec![Step::Answer]];
    let (address, steps_done) = start_proxy(scripts);
    let mut client = Client::new(address);
    assert_eq!(client.send(&request("a", true)).response, Response::Served);
    for _ in 0..2 {
        steps_done.recv_timeout(STEP_TIMEOUT).expect("the proxy runs its script");
    }
    assert_eq!(client.send(&request("b", true)).response, Response::Served);
}
