//! A client with one kept connection.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Message, Reader};

/// Keys of the first tenant.
pub const KEYS: [&str; 2] = ["s989anu6wsjnbanfqasn", "mgkcuyj8pjbvk9m68k7b"];
/// Longest time for which a client waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A client.
pub struct Client {
    /// Key that it sends.
    pub key: &'static str,
    stream: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Client { key: KEYS[0], stream, reader })
    }

    /// Sends a request with a body of `length` bytes.
    pub fn send(
        &mut self,
        method: &str,
        id: &str,
        deadline: Duration,
        length: usize,
    ) -> io::Result<()> {
        let prefix = if method == "GET" { "leny950" } else { "puka111" };
        let mut head = format!(
            "{method} /{prefix}/{id} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Remaining-Ms: {}\r\nAuthorization: Bearer {}\r\n",
            deadline.as_millis(),
            self.key
        );
        if method != "GET" {
            head.push_str(&format!("Content-Length: {length}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(&vec![b'y'; length])
    }

    /// Reads an answer, with a pause after each piece of its body.
    pub fn answer(&mut self, pause: &dyn Fn()) -> io::Result<Message> {
        let head = self.reader.head()?;
        let mut message =
            head.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed"))?;
        self.reader.body(&mut message, pause)?;
        Ok(message)
    }
}
