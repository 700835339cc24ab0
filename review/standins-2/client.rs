//! Clients of the deployment.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::backend::body_of;
use crate::http::{Connection, Message};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    /// The object that the request is about.
    pub object: usize,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(path: &str, id: &str, deadline_ms: u64) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms,
            object: 0,
            body: Vec::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let length = match self.body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {}\r\nRequest-Deadline: {}\r\nCookie: Affinity-Key={}\r\n{length}\r\n",
            self.method, self.path, self.id, self.deadline_ms, self.object
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    Some(Connection::of(stream))
}

/// Asks the host itself, on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut connection = connect(address)?;
    let _set = connection.stream().set_read_timeout(Some(CONNECT_TIMEOUT));
    let text = format!("GET {path} HTTP/1.1\r\nHost: host\r\n\r\n");
    connection.write(text.as_bytes()).ok()?;
    let mut answer = connection.read_head().ok()??;
    connection.read_body(&mut answer);
    Some(answer)
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer with this status.
    Answer(u16),
    /// The connection ended with no complete answer.
    Cut(String),
    /// The client's time was over.
    Deadline,
}

impl End {
    /// What is said in a record.
    pub fn text(&self) -> String {
        match self {
            Self::Answer(status) => format!("answered {status}"),
            Self::Cut(how) => format!("cut, {how}"),
            Self::Deadline => "no answer in the client's time".to_owned(),
        }
    }

    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answer(200))
    }
}

/// Reads the answer to a request that was sent on `connection`.
pub fn read_answer(connection: &mut Connection, id: &str) -> End {
    let is_timeout = |kind: std::io::ErrorKind| {
        matches!(
            kind,
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        )
    };
    let mut answer = match connection.read_head() {
        Ok(Some(answer)) => answer,
        Ok(None) => return End::Cut("the connection was closed before an answer".to_owned()),
        Err(fault) if is_timeout(fault.kind()) => return End::Deadline,
        Err(fault) => return End::Cut(format!("before an answer: {fault}")),
    };
    connection.read_body(&mut answer);
    if !answer.whole {
        let length = answer.header("content-length").unwrap_or("?").to_owned();
        return End::Cut(format!("after {} of {length} bytes", answer.body.len()));
    }
    if answer.status() == 200 {
        let is_own = answer.header("request-id") == Some(id)
            && answer.header("response-signature").is_some()
            && answer.body == body_of(id, 0..answer.body.len());
        if !is_own {
            return End::Cut("a whole answer that is not the backend's".to_owned());
        }
    }
    End::Answer(answer.status())
}
