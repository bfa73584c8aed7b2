//! HTTP/1.1 messages over blocking streams.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A message: a request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the length that the headers state.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: BufReader<TcpStream>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream: BufReader::with_capacity(16 * 1024, stream) }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                let is_begun = !message.first.is_empty();
                return if is_begun { Err(ended()) } else { Ok(None) };
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some(message));
            }
            match line.split_once(':') {
                Some((name, value)) if !message.first.is_empty() => {
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
                _ => message.first = line.to_owned(),
            }
        }
    }

    /// Reads `length` bytes of a body, `pause` after each piece.
    pub fn piece(&mut self, length: usize, pause: &dyn Fn()) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut buffer = vec![0; 64 * 1024];
        while body.len() < length {
            let wanted = buffer.len().min(length - body.len());
            let count = self.stream.read(&mut buffer[..wanted])?;
            if count == 0 {
                return Err(ended());
            }
            body.extend_from_slice(&buffer[..count]);
            pause();
        }
        Ok(body)
    }

    /// Reads the body of a message.
    pub fn body(&mut self, message: &mut Message, pause: &dyn Fn()) -> io::Result<()> {
        if !message.is_chunked() {
            message.body = self.piece(message.length(), pause)?;
            return Ok(());
        }
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            message.body.extend(self.piece(length, pause)?);
            self.stream.read_line(&mut String::new())?;
            if length == 0 {
                return Ok(());
            }
        }
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, &|| {})?;
        Ok(Some(message))
    }
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended early")
}

/// Writes an answer with a body of known length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}
