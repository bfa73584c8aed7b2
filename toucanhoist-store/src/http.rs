use std::{net::SocketAddr, time::Duration};

use {
    async_trait::async_trait,
    bytes::Bytes,
    hyper::{Method, StatusCode},
    serde::de::DeserializeOwned,
};

use crate::{
    Answer, Channel, Error, ErrorKind, ListedHost, Platform, Row, Transaction, Version,
    channel::{unavailable, unknown},
};

/// A client of the platform's service, over HTTP.
#[derive(Debug)]
pub struct Http {
    channel: Channel,
    timeout: Duration,
}

impl Http {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Http {
        Http { channel: Channel::new(address), timeout }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
        self.channel.call(method, path, body, self.timeout).await
    }
}

fn decode_json<T: DeserializeOwned>(answer: Answer) -> Result<T, Error> {
    let content = successful_content(answer)?;
    serde_json::from_slice(&content).map_err(unknown)
}

fn successful_content(answer: Answer) -> Result<Bytes, Error> {
    match answer.status {
        status if status.is_success() => Ok(answer.content),
        StatusCode::CONFLICT => Err(Error::new(ErrorKind::Conflict)),
        status => Err(unavailable(status)),
    }
}

#[async_trait]
impl Platform for Http {
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error> {
        let body = serde_json::to_vec(&transaction).map_err(unavailable)?;
        decode_json(self.call(Method::POST, "/transactions", body.into()).await?)
    }

    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error> {
        let body = serde_json::to_vec(keys).map_err(unavailable)?;
        decode_json(self.call(Method::POST, &format!("/tables/{table}/read"), body.into()).await?)
    }

    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error> {
        let path = format!("/tables/{table}/changes?after={after}&limit={limit}");
        decode_json(self.call(Method::GET, &path, Bytes::new()).await?)
    }

    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error> {
        successful_content(self.call(Method::PUT, &format!("/objects/{name}"), content).await?)?;
        Ok(())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let answer = self.call(Method::GET, &format!("/objects/{name}"), Bytes::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => successful_content(answer).map(Some),
        }
    }

    async fn hosts(&self) -> Result<Vec<ListedHost>, Error> {
        decode_json(self.call(Method::GET, "/hosts", Bytes::new()).await?)
    }
}
