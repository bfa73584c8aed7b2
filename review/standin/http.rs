//! Messages of HTTP/1.1 with a length or in chunks.

use std::{
    io::{Error, ErrorKind, Read, Result},
    net::TcpStream,
};

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Start line and headers.
pub struct Head {
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word: a request's target, or an answer's status.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or_default()
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk)? {
            0 => Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
            length => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` if the peer closed the connection before the first byte of it.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Head { start, headers: headers.collect() }));
            }
            match self.fill() {
                Err(error)
                    if self.buffer.is_empty() && error.kind() == ErrorKind::UnexpectedEof =>
                {
                    return Ok(None);
                }
                filled => filled?,
            }
        }
    }

    /// Reads a body, and passes it on piece by piece.
    pub fn body(&mut self, head: &Head, mut take: impl FnMut(&[u8])) -> Result<()> {
        if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
            return self.exactly(length, &mut take);
        }
        if head.header("transfer-encoding").is_none() {
            return Ok(());
        }
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
            self.exactly(size, &mut take)?;
            self.exactly(2, &mut |_| {})?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn exactly(&mut self, mut left: usize, take: &mut dyn FnMut(&[u8])) -> Result<()> {
        while left > 0 {
            if self.buffer.is_empty() {
                self.fill()?;
            }
            let length = left.min(self.buffer.len());
            take(&self.buffer[..length]);
            self.buffer.drain(..length);
            left -= length;
        }
        Ok(())
    }
}
