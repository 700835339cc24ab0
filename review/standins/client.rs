//! A stand-in for a client, which keeps a connection for many requests.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::deployment::HOST_NAME;
use crate::http::{self, Head};

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// The object that it is about, which its cookie names.
    pub object: u64,
    pub deadline_ms: u64,
    pub body_bytes: usize,
}

/// How a request ended.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole(Head, u64),
    /// The connection ended without a whole answer; so many bytes of the body came.
    Broken(u64),
    /// The client gave up at its deadline.
    GaveUp,
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Self::Whole(head, bytes) => format!("{} with {bytes} bytes", head.status()),
            Self::Broken(bytes) => format!("a connection that ended after {bytes} bytes"),
            Self::GaveUp => "nothing before its deadline".to_owned(),
        }
    }
}

/// A client with at most one open connection.
pub struct Client {
    pub host: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// How many requests the open connection has carried.
    pub carried: u32,
}

impl Client {
    pub fn of(host: SocketAddr) -> Self {
        Self {
            host,
            connection: None,
            carried: 0,
        }
    }

    /// Sends a request and waits for the whole answer.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<Reply> {
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => {
                self.carried = 0;
                let stream = TcpStream::connect_timeout(&self.host, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        let deadline = Duration::from_millis(request.deadline_ms);
        reader.get_ref().set_read_timeout(Some(deadline))?;
        self.carried += 1;
        let written = write_request(reader.get_mut(), request);
        let mut bytes = 0;
        let result = written.and_then(|()| {
            let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            http::read_body(&mut reader, &head, |piece| bytes += piece.len() as u64)?;
            Ok(head)
        });
        match result {
            Ok(head) => {
                if !head.closes() {
                    self.connection = Some(reader);
                }
                Ok(Reply::Whole(head, bytes))
            }
            Err(fault) if is_timeout(&fault) => Ok(Reply::GaveUp),
            Err(_ended) => Ok(Reply::Broken(bytes)),
        }
    }
}

pub fn is_timeout(fault: &io::Error) -> bool {
    matches!(
        fault.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

pub fn write_request(stream: &mut TcpStream, request: &Request<'_>) -> io::Result<()> {
    let Request {
        method,
        path,
        id,
        object,
        deadline_ms,
        body_bytes,
    } = request;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={object}\r\nRequest-Deadline: {deadline_ms}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = [b'x'; 64 * 1024];
    let mut left = *body_bytes;
    while left > 0 {
        let part = left.min(piece.len());
        stream.write_all(&piece[..part])?;
        left -= part;
    }
    Ok(())
}
