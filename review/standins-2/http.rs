//! HTTP/1.1 messages on blocking connections.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is as long as the head says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The word of the first line at this place.
    pub fn word(&self, place: usize) -> &str {
        self.first.split(' ').nth(place).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn of(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        if self.reader.read_line(&mut message.first)? == 0 {
            return Ok(None);
        }
        message.first.truncate(message.first.trim_end().len());
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned())),
                None => return Ok(Some(message)),
            }
        }
    }

    /// Reads the body that belongs to a head. `whole` tells whether all of it came.
    pub fn read_body(&mut self, message: &mut Message) {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length");
        let length: usize = length.and_then(|value| value.parse().ok()).unwrap_or(0);
        message.whole = if is_chunked {
            self.read_chunks(&mut message.body).is_ok()
        } else {
            self.read_exactly(length, &mut message.body).is_ok()
        };
    }

    fn read_exactly(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let before = body.len();
        let read = (&mut self.reader).take(length as u64).read_to_end(body);
        match read {
            Ok(_) if body.len() - before == length => Ok(()),
            Ok(_) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(fault) => Err(fault),
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.read_exactly(length, body)?;
            self.read_exactly(2, &mut Vec::new())?;
            if length == 0 {
                return Ok(());
            }
        }
    }
}
