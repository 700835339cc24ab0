//! Reads and writes HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

const MAX_LINE_BYTES: usize = 64 * 1024;

/// A request or an answer without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// A word of the start line.
    pub fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or("")
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        let value = self.header("connection").unwrap_or("");
        value
            .to_ascii_lowercase()
            .split(',')
            .any(|word| word.trim() == "close")
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let length = reader
        .by_ref()
        .take(MAX_LINE_BYTES as u64)
        .read_until(b'\n', &mut bytes)?;
    if length == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let line = String::from_utf8_lossy(&bytes);
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut head = Head {
        start,
        headers: Vec::new(),
    };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| invalid("a header line"))?;
        head.headers
            .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks, and passes each piece to `take`.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    mut take: impl FnMut(&[u8]),
) -> io::Result<u64> {
    let is_chunked = head
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if !is_chunked {
        let length = head.number("content-length").unwrap_or(0);
        return read_exactly(reader, length, &mut take);
    }
    let mut total = 0;
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = u64::from_str_radix(&size, 16).map_err(|_| invalid("a chunk size"))?;
        total += read_exactly(reader, size, &mut take)?;
        // The end of the chunk, or of the empty trailer.
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(total);
        }
    }
}

fn read_exactly(
    reader: &mut BufReader<TcpStream>,
    length: u64,
    take: &mut impl FnMut(&[u8]),
) -> io::Result<u64> {
    let mut left = length;
    let mut buffer = [0_u8; 16 * 1024];
    while left > 0 {
        let part = usize::try_from(left)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        let count = reader.read(&mut buffer[..part])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        take(&buffer[..count]);
        left -= count as u64;
    }
    Ok(length)
}

/// Sends a small request on a new connection; returns the status and the body.
pub fn call(address: std::net::SocketAddr, request: &str) -> io::Result<(u16, Vec<u8>)> {
    let timeout = std::time::Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    read_body(&mut reader, &head, |bytes| body.extend_from_slice(bytes))?;
    Ok((head.status(), body))
}
