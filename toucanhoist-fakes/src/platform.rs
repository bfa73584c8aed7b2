//! A stand-in for the platform's service, with faults on demand.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use {
    async_trait::async_trait,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::Serialize,
    toucanhoist_store::{
        Error, ErrorKind, ListedHost, Memory, Platform, Row, Transaction, Version,
    },
};

use crate::server::{Body, Listener, body};

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Time by which each call is late.
    pub delay: Duration,
    /// Whether every call is refused.
    pub down: bool,
    /// Whether writes take effect and their answers are lost.
    pub lose_answers: bool,
}

/// A platform in memory that misbehaves on demand.
#[derive(Debug, Default)]
pub struct Faulty {
    memory: Memory,
    faults: Mutex<Faults>,
}

impl Faulty {
    /// Creates a platform without faults.
    pub fn new() -> Faulty {
        Faulty::default()
    }

    /// Returns what is behind the faults.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Sets how it misbehaves from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    async fn enter(&self) -> Result<Faults, Error> {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return Err(Error::new(ErrorKind::Unavailable("down".into())));
        }
        Ok(faults)
    }
}

fn answer<T>(faults: Faults, value: T) -> Result<T, Error> {
    if faults.lose_answers {
        return Err(Error::new(ErrorKind::Unknown("answer lost".into())));
    }
    Ok(value)
}

#[async_trait]
impl Platform for Faulty {
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error> {
        let faults = self.enter().await?;
        let version = self.memory.transact(transaction).await?;
        answer(faults, version)
    }

    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error> {
        self.enter().await?;
        self.memory.read(table, keys).await
    }

    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error> {
        self.enter().await?;
        self.memory.scan(table, after, limit).await
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        let faults = self.enter().await?;
        self.memory.put_object(name, content).await?;
        answer(faults, ())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        self.enter().await?;
        self.memory.get_object(name).await
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, Error> {
        self.enter().await?;
        self.memory.hosts().await
    }
}

/// A platform that serves its API over HTTP.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
}

impl Server {
    /// Serves `platform` at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, platform: Arc<Faulty>) -> io::Result<Server> {
        let handler = move |request| serve(Arc::clone(&platform), request);
        Ok(Server { listener: Listener::bind(address, handler).await? })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

async fn serve(platform: Arc<Faulty>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let (parts, incoming) = request.into_parts();
    let content = incoming.collect().await.map_err(io::Error::other)?.to_bytes();
    let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
    match (parts.method, path.as_slice()) {
        (Method::POST, ["transactions"]) => match serde_json::from_slice(&content) {
            Ok(transaction) => json(platform.transact(transaction).await),
            Err(error) => Ok(malformed(&error)),
        },
        (Method::POST, ["tables", table, "read"]) => {
            match serde_json::from_slice::<Vec<Box<str>>>(&content) {
                Ok(keys) => json(platform.read(table, &keys).await),
                Err(error) => Ok(malformed(&error)),
            }
        }
        (Method::GET, ["tables", table, "changes"]) => {
            let after = number(parts.uri.query(), "after").into();
            let limit = usize::try_from(number(parts.uri.query(), "limit")).unwrap_or(usize::MAX);
            json(platform.scan(table, after, limit).await)
        }
        (Method::PUT, ["objects", name @ ..]) => {
            json(platform.put_object(&name.join("/"), content).await)
        }
        (Method::GET, ["objects", name @ ..]) => match platform.get_object(&name.join("/")).await {
            Ok(Some(content)) => Ok(plain(StatusCode::OK, content)),
            Ok(None) => Ok(plain(StatusCode::NOT_FOUND, Bytes::new())),
            Err(error) => json::<()>(Err(error)),
        },
        (Method::GET, ["hosts"]) => json(platform.hosts().await),
        _ => Ok(plain(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn malformed(error: &serde_json::Error) -> Response<Body> {
    plain(StatusCode::BAD_REQUEST, error.to_string().into())
}

fn number(query: Option<&str>, name: &str) -> u64 {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(n, _)| *n == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Turns a result into an answer. An unknown outcome breaks the connection, as a lost answer does.
fn json<T: Serialize>(result: Result<T, Error>) -> io::Result<Response<Body>> {
    match result {
        Ok(value) => Ok(plain(StatusCode::OK, serde_json::to_vec(&value)?.into())),
        Err(error) if error.is_conflict() => Ok(plain(StatusCode::CONFLICT, Bytes::new())),
        Err(error) if error.is_unknown() => Err(io::Error::other(error)),
        Err(error) => Ok(plain(StatusCode::SERVICE_UNAVAILABLE, error.to_string().into())),
    }
}

fn plain(status: StatusCode, content: Bytes) -> Response<Body> {
    let mut response = Response::new(body(Full::new(content)));
    *response.status_mut() = status;
    response
}
