//! HTTP calls to a service, over a pool of connections.

use std::{net::SocketAddr, time::Duration};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    tokio::{
        sync::Mutex,
        time::{self, Instant},
    },
};

use crate::{Error, ErrorKind, socket};

/// Idle connections that a channel keeps open.
const IDLE_MAX: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

type Call = Request<Full<Bytes>>;
type Connection = http1::SendRequest<Full<Bytes>>;

/// An HTTP client of a service at one address.
#[derive(Debug)]
pub struct Channel {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

/// A complete response of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub content: Bytes,
}

impl Channel {
    /// Creates a channel, which connects when it is first called.
    pub fn new(address: SocketAddr) -> Channel {
        Channel { address, idle: Mutex::new(Vec::new()) }
    }

    /// Sends a request and waits for the complete response, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// The service cannot be reached, or the outcome of the call is unknown.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let deadline = Instant::now() + timeout;
        let mut request = self.request(method, path, body)?;
        // If the service has closed an idle connection, `exchange` returns the request unsent.
        while let Some(connection) = self.take_idle().await {
            match self.exchange(connection, request, deadline).await {
                Ok(answer) => return answer,
                Err(unsent) => request = unsent,
            }
        }
        let connecting = time::timeout_at(deadline, self.connect()).await;
        let connection = connecting.map_err(|_| unavailable("connecting timed out"))??;
        match self.exchange(connection, request, deadline).await {
            Ok(answer) => answer,
            Err(_) => Err(unavailable("the connection closed before the request was sent")),
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Call, Error> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(unavailable)
    }

    /// Sends a request; returns it as the outer error if none of it was sent.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Call,
        deadline: Instant,
    ) -> Result<Result<Answer, Error>, Call> {
        let sending = time::timeout_at(deadline, connection.try_send_request(request));
        let answer = match sending.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(request) => Err(request),
                    None => Ok(Err(unknown(error.into_error()))),
                };
            }
            Err(_) => return Ok(Err(unknown("timed out waiting for the response"))),
        };
        let (head, body) = answer.into_parts();
        let content = match time::timeout_at(deadline, body.collect()).await {
            Ok(Ok(content)) => content.to_bytes(),
            Ok(Err(error)) => return Ok(Err(unknown(error))),
            Err(_) => return Ok(Err(unknown("timed out reading the response body"))),
        };
        self.put_back(connection).await;
        Ok(Ok(Answer { status: head.status, headers: head.headers, content }))
    }

    async fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().await;
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let stream = socket::connect(self.address, CONNECT_TIMEOUT).await.map_err(unavailable)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(unavailable)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a service failed: {error}");
            }
        });
        Ok(sender)
    }

    async fn put_back(&self, mut connection: Connection) {
        if connection.ready().await.is_ok() {
            let mut idle = self.idle.lock().await;
            if idle.len() < IDLE_MAX {
                idle.push(connection);
            }
        }
    }
}

pub(crate) fn unavailable(reason: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Unavailable(reason.to_string().into()))
}

pub(crate) fn unknown(reason: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Unknown(reason.to_string().into()))
}
