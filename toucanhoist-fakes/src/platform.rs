//! A fake of the platform's service, with fault injection.

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

/// Faults that the fake injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Delay of each call.
    pub delay: Duration,
    /// Whether every call is refused.
    pub down: bool,
    /// Whether the responses of writes are lost after the writes took effect.
    pub lose_answers: bool,
}

/// A platform in memory with fault injection.
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

    /// Returns the platform without faults.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Sets the faults of calls from now on.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    async fn apply_faults(&self) -> Result<Faults, Error> {
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

fn unless_lost<T>(faults: Faults, value: T) -> Result<T, Error> {
    if faults.lose_answers {
        return Err(Error::new(ErrorKind::Unknown("response lost".into())));
    }
    Ok(value)
}

#[async_trait]
impl Platform for Faulty {
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error> {
        let faults = self.apply_faults().await?;
        let version = self.memory.transact(transaction).await?;
        unless_lost(faults, version)
    }

    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error> {
        self.apply_faults().await?;
        self.memory.read(table, keys).await
    }

    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error> {
        self.apply_faults().await?;
        self.memory.scan(table, after, limit).await
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        let faults = self.apply_faults().await?;
        self.memory.put_object(name, content).await?;
        unless_lost(faults, ())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        self.apply_faults().await?;
        self.memory.get_object(name).await
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, Error> {
        self.apply_faults().await?;
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
            Err(error) => Ok(bad_request(&error)),
        },
        (Method::POST, ["tables", table, "read"]) => {
            match serde_json::from_slice::<Vec<Box<str>>>(&content) {
                Ok(keys) => json(platform.read(table, &keys).await),
                Err(error) => Ok(bad_request(&error)),
            }
        }
        (Method::GET, ["tables", table, "changes"]) => {
            let after = query_number(parts.uri.query(), "after").into();
            let limit =
                usize::try_from(query_number(parts.uri.query(), "limit")).unwrap_or(usize::MAX);
            json(platform.scan(table, after, limit).await)
        }
        (Method::PUT, ["objects", name @ ..]) => {
            json(platform.put_object(&name.join("/"), content).await)
        }
        (Method::GET, ["objects", name @ ..]) => match platform.get_object(&name.join("/")).await {
            Ok(Some(content)) => Ok(respond(StatusCode::OK, content)),
            Ok(None) => Ok(respond(StatusCode::NOT_FOUND, Bytes::new())),
            Err(error) => json::<()>(Err(error)),
        },
        (Method::GET, ["hosts"]) => json(platform.hosts().await),
        _ => Ok(respond(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn bad_request(error: &serde_json::Error) -> Response<Body> {
    respond(StatusCode::BAD_REQUEST, error.to_string().into())
}

fn query_number(query: Option<&str>, name: &str) -> u64 {
    let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(found, _)| *found == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Turns a result into a response. An unknown outcome breaks the connection, as a lost response
/// does.
fn json<T: Serialize>(result: Result<T, Error>) -> io::Result<Response<Body>> {
    match result {
        Ok(value) => Ok(respond(StatusCode::OK, serde_json::to_vec(&value)?.into())),
        Err(error) if error.is_conflict() => Ok(respond(StatusCode::CONFLICT, Bytes::new())),
        Err(error) if error.is_unknown() => Err(io::Error::other(error)),
        Err(error) => Ok(respond(StatusCode::SERVICE_UNAVAILABLE, error.to_string().into())),
    }
}

fn respond(status: StatusCode, content: Bytes) -> Response<Body> {
    let mut response = Response::new(body(Full::new(content)));
    *response.status_mut() = status;
    response
}
