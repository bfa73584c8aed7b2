//! Callers that do not behave, and one that does.

use std::{convert::Infallible, io::ErrorKind, net::SocketAddr, time::Duration};

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    http::Request,
    http_body_util::StreamBody,
    hyper::{body::Frame, client::conn::http2},
    hyper_util::rt::{TokioExecutor, TokioIo},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time,
    },
};

/// Time after which a caller whose bytes are not taken keeps still.
const STILL_TIME: Duration = Duration::from_millis(500);
/// Time after which a test is given up as hung.
pub const HANG_TIME: Duration = Duration::from_secs(60);
/// Pause between two attempts of a caller.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of one write.
const WRITE_BYTES: usize = 16 * 1_024;

/// What each caller of a crowd sends.
#[derive(Clone, Debug)]
pub struct Script {
    /// First bytes.
    pub beginning: Bytes,
    /// Bytes of answers that are read before the others follow.
    pub read: usize,
    /// Bytes that follow again and again.
    pub repeated: String,
    /// Number of bytes that follow the first ones.
    pub length: usize,
}

/// Connections that stay open until dropped; what arrives on them then is not read.
#[derive(Debug)]
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections, and sends a script on each until all of it is sent, the connection is closed, or nothing
    /// more is taken.
    pub async fn gather(address: SocketAddr, count: usize, script: &Script) -> Crowd {
        let mut callers = JoinSet::new();
        for _ in 0..count {
            callers.spawn(send(address, script.clone()));
        }
        let connections = callers.join_all().await.into_iter().flatten().collect();
        Crowd { _connections: connections }
    }
}

/// Sends a script on a new connection; `None` if none was made.
async fn send(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let connecting = time::timeout(HANG_TIME, TcpStream::connect(address)).await;
    let mut stream = connecting.ok()?.ok()?;
    let (mut left, mut unread) = (script.length, script.read);
    let mut next = script.beginning;
    let repeated = script.repeated.repeat((WRITE_BYTES / script.repeated.len().max(1)).max(1));
    let repeated = Bytes::from(repeated);
    loop {
        match time::timeout(STILL_TIME, stream.write_all(&next)).await {
            Ok(Ok(())) if left > 0 => {
                discard(&mut stream, std::mem::take(&mut unread)).await;
                let length = repeated.len().min(left);
                left -= length;
                next = repeated.slice(..length);
            }
            // All is sent, the host has closed the connection, or it takes no more.
            Ok(_) | Err(_) => return Some(stream),
        }
    }
}

/// Reads bytes until nothing more arrives.
async fn discard(stream: &mut TcpStream, mut left: usize) {
    let mut buffer = [0; WRITE_BYTES];
    while left > 0 {
        match time::timeout(STILL_TIME, stream.read(&mut buffer)).await {
            Ok(Ok(read @ 1..)) => left = left.saturating_sub(read),
            Ok(_) | Err(_) => return,
        }
    }
}

/// Calls on one HTTP/2 connection whose messages do not end, until dropped.
pub struct Calls {
    _tasks: JoinSet<()>,
}

impl Calls {
    /// Begins calls and sends the beginning of a message on each, as far as it is taken.
    pub async fn begin(address: SocketAddr, count: usize, bytes: usize) -> Calls {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let connecting = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
        let (sender, connection) = connecting.await.expect("a connection");
        let mut tasks = JoinSet::new();
        // A host that disconnects ends the calls.
        tasks.spawn(async move { connection.await.unwrap_or_default() });
        for _ in 0..count {
            let mut sender = sender.clone();
            let message = [&[0, 0, 0x30, 0, 0][..], &vec![b'a'; bytes]].concat();
            let first = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from(message)))]);
            let body = StreamBody::new(first.chain(stream::pending()));
            let request = Request::post("http://host/toucanhoist.membership.Membership/Deliver")
                .header("content-type", "application/grpc")
                .header("te", "trailers")
                .body(body)
                .expect("a request");
            tasks.spawn(async move {
                // Held until the connection ends, and the answer with it.
                let _answer = sender.send_request(request).await;
                std::future::pending().await
            });
        }
        Calls { _tasks: tasks }
    }
}

/// Sends bytes one at a time until the host closes the connection; panics if it does not. Answers are left unseen.
pub async fn drip(address: SocketAddr, beginning: &str, repeated: &str, pause: Duration) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let dripping = async {
        let mut buffer = [0; 4_096];
        let mut bytes = beginning.bytes().chain(repeated.bytes().cycle());
        let start: Vec<u8> = bytes.by_ref().take(beginning.len()).collect();
        if stream.write_all(&start).await.is_err() {
            return;
        }
        loop {
            match time::timeout(pause, stream.read(&mut buffer)).await {
                Ok(Ok(0) | Err(_)) => return,
                Ok(Ok(_)) => {}
                Err(_) => {
                    let next = bytes.next().expect("an endless sequence");
                    if stream.write_all(&[next]).await.is_err() {
                        return;
                    }
                }
            }
        }
    };
    time::timeout(HANG_TIME, dripping).await.expect("the host closes the connection");
}

/// Sends a request on new connections until it gets this status; panics if it never does.
pub async fn ask(address: SocketAddr, request: &str, status: u16) {
    let mut last = String::new();
    let asking = async {
        loop {
            match time::timeout(HANG_TIME, attempt(address, request)).await {
                Ok(Ok(answer)) => last = answer,
                Ok(Err(error)) => last = error.to_string(),
                Err(_) => last = "no answer".to_owned(),
            }
            if last.split(' ').nth(1).and_then(|text| text.parse().ok()) == Some(status) {
                return;
            }
            time::sleep(RETRY_PAUSE).await;
        }
    };
    let is_answered = time::timeout(HANG_TIME, asking).await.is_ok();
    assert!(is_answered, "{address} never answered {status} to an ordinary request; last: {last}");
}

/// Sends a request and reads the head of its answer.
pub async fn attempt(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    String::from_utf8(head).map_err(|error| std::io::Error::new(ErrorKind::InvalidData, error))
}
