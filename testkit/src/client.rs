//! A client of the proxy on PostgreSQL's wire protocol: one connection, one request at a time, and each answer
//! as what it promises.
//!
//! Owns the connection and the ids of its requests. It must never send a request again under the same id, nor
//! take an answer for more than it says.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::script::{query, read_message, startup};

/// What a request's final answer promises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It ran, and this is its row.
    Served,
    /// It ran nowhere, or may run again; come back after this time.
    Refused(Option<Duration>),
    /// It may have run; the SQLSTATE.
    Failed(String),
    /// Nothing came in time, or the connection ended.
    Unanswered,
    /// The client went away before an answer.
    Left,
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its id.
    pub id: String,
    /// It was a write.
    pub write: bool,
    /// When it was sent.
    pub sent: Instant,
    /// How long its answer took.
    pub took: Duration,
    /// The answer.
    pub answer: Answer,
}

/// What to ask for.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// A new id.
    pub id: &'a str,
    /// The class; `write` must fit it.
    pub class: &'a str,
    /// It inserts.
    pub write: bool,
    /// The set.
    pub group: u64,
    /// How long the client waits, as it says.
    pub wait: Duration,
    /// Time past that after which a request has got no answer.
    pub slack: Duration,
}

/// A connection to the proxy, opened when it is needed.
pub struct Client {
    proxy: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    /// One that has not connected yet.
    pub fn new(proxy: SocketAddr) -> Self {
        Self { proxy, stream: None }
    }

    fn connect(&mut self) -> io::Result<&mut TcpStream> {
        if self.stream.is_none() {
            let mut stream = TcpStream::connect(self.proxy)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(&startup())?;
            while read_message(&mut stream).ok_or(io::ErrorKind::UnexpectedEof)?.0 != b'Z' {}
            self.stream = Some(stream);
        }
        Ok(self.stream.as_mut().expect("it was just opened"))
    }

    /// Asks, and waits for the final answer. `leave` closes the connection after that time instead.
    pub fn ask(&mut self, ask: &Ask<'_>, leave: Option<Duration>) -> Outcome {
        let Ask { id, class, write, group, wait, slack } = ask;
        let d = wait.as_millis();
        let comment = format!("/* id={id},c={class},d={d},cluster={group} */");
        let text = if *write {
            format!(r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body {comment}")
        } else {
            format!("SELECT body FROM objects WHERE oid = 'k' {comment}")
        };
        let sent = Instant::now();
        let most = leave.unwrap_or(*wait + *slack);
        let answer = match self.converse(&text, most) {
            Ok(answer) => answer,
            Err(_) => {
                self.stream = None;
                if leave.is_some() {
                    Answer::Left
                } else {
                    Answer::Unanswered
                }
            }
        };
        Outcome { id: (*id).to_owned(), write: *write, sent, took: sent.elapsed(), answer }
    }

    /// Sends a query and reads up to ReadyForQuery. A connection that the proxy closed between requests is opened
    /// anew, as the protocol has it.
    fn converse(&mut self, text: &str, most: Duration) -> io::Result<Answer> {
        let kept = self.stream.is_some();
        match self.once(text, most) {
            Err(e) if kept && e.kind() == io::ErrorKind::UnexpectedEof => {
                self.stream = None;
                self.once(text, most)
            }
            other => other,
        }
    }

    fn once(&mut self, text: &str, most: Duration) -> io::Result<Answer> {
        let until = Instant::now() + most;
        let stream = self.connect()?;
        stream.write_all(&query(text))?;
        let (mut answer, mut begun) = (None, false);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
            let mut first = [0];
            let seen = stream.peek(&mut first);
            match seen {
                Ok(0) if !begun => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if n > 0 => {}
                _ => return Err(io::ErrorKind::TimedOut.into()),
            }
            let Some((kind, body)) = read_message(stream) else {
                return Err(io::ErrorKind::TimedOut.into());
            };
            begun = true;
            match kind {
                b'D' => answer = Some(Answer::Served),
                b'E' => answer = Some(refusal(&body)),
                b'Z' => return answer.ok_or(io::ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
    }
}

/// What an ErrorResponse promises.
fn refusal(body: &[u8]) -> Answer {
    let field = |kind: u8| {
        let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&kind))?;
        Some(String::from_utf8_lossy(&field[1..]).into_owned())
    };
    let code = field(b'C').unwrap_or_default();
    if matches!(&*code, "53300" | "57P03") {
        let hint = field(b'D').and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        return Answer::Refused(hint);
    }
    Answer::Failed(code)
}
