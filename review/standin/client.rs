//! Clients.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::Connection;

pub const HOST: &str = "review.example";
pub const KEY: &str = "k3y0f7he7enan7";

/// An answer.
pub struct Answer {
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    pub closes: bool,
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(Connection::new(stream))
}

/// Returns the head of a request.
pub fn head(method: &str, path: &str, id: &str, remaining: Duration, length: usize) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Remaining-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\n{length}\r\n",
        remaining.as_millis()
    )
}

/// Reads an answer.
pub fn answer(connection: &mut Connection) -> io::Result<Answer> {
    let closed = || io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer");
    let head = connection.head()?.ok_or_else(closed)?;
    let mut body = Vec::new();
    connection.body(&head, |piece| body.extend_from_slice(piece))?;
    let closes = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let seal = head.header("x-server-seal").map(str::to_owned);
    Ok(Answer { status: head.status(), seal, body, closes })
}

/// Whether a host's readiness check answers 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut connection = connect(address, Duration::from_secs(1))?;
        connection.stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        Ok(answer(&mut connection)?.status)
    };
    ask().is_ok_and(|status| status == 200)
}
