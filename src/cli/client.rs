//! Client of a host's operators' listener.

use std::{path::Path, sync::Arc};

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode, Uri, header, uri::Scheme},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    serde_json::Value,
    tokio::{net::TcpStream, runtime},
    tokio_rustls::{
        TlsConnector,
        client::TlsStream,
        rustls::{
            ClientConfig, RootCertStore,
            crypto::ring,
            pki_types::{CertificateDer, ServerName, pem::PemObject},
        },
    },
    tokio_util::either::Either,
};

use super::output::Failure;

/// A host's operators' listener.
pub(super) struct Client {
    url: Box<str>,
    token: Box<str>,
    /// File of the certificates that are trusted for an `https` URL.
    ca: Option<Box<Path>>,
}

impl Client {
    pub(super) fn new(url: &str, token: &str, ca: Option<&Path>) -> Client {
        let url = url.trim_end_matches('/').into();
        Client { url, token: token.into(), ca: ca.map(Into::into) }
    }

    /// Calls the host and returns the JSON of its answer.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let runtime =
            runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::failed)?;
        let content = body.map(Value::to_string).unwrap_or_default();
        let (status, answer) = runtime.block_on(self.exchange(method, path, content.into()))?;
        let value: Value = serde_json::from_slice(&answer).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let reason = match value.get("error").and_then(Value::as_str) {
            Some(error) => error.to_owned(),
            None => status.to_string(),
        };
        Err(match status {
            StatusCode::CONFLICT => Failure::Conflict(conflict(&reason, &value).into()),
            StatusCode::UNPROCESSABLE_ENTITY => Failure::Faults(reason.into()),
            _ => Failure::Failed(reason.into()),
        })
    }

    async fn connect_tls(
        &self,
        host: &str,
        stream: TcpStream,
    ) -> Result<TlsStream<TcpStream>, Failure> {
        let ca = self.ca.as_deref();
        let ca = ca.ok_or_else(|| Failure::failed("an https URL needs --ca FILE"))?;
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(ca).map_err(Failure::failed)? {
            let certificate = certificate.map_err(Failure::failed)?;
            roots.add(certificate).map_err(Failure::failed)?;
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(Failure::failed)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from(host.to_owned()).map_err(Failure::failed)?;
        let handshake = TlsConnector::from(Arc::new(config)).connect(name, stream);
        handshake.await.map_err(Failure::failed)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        content: Bytes,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let uri: Uri = format!("{}{path}", self.url).parse().map_err(Failure::failed)?;
        let authority = uri.authority().ok_or_else(|| Failure::failed("the URL has no host"))?;
        let is_secure = uri.scheme() == Some(&Scheme::HTTPS);
        let port = authority.port_u16().unwrap_or(if is_secure { 443 } else { 80 });
        let stream = TcpStream::connect((authority.host(), port))
            .await
            .map_err(|error| Failure::failed(format!("{}: {error}", self.url)))?;
        let stream = if is_secure {
            Either::Right(self.connect_tls(authority.host(), stream).await?)
        } else {
            Either::Left(stream)
        };
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(Failure::failed)?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(uri.path_and_query().map_or("/", |path| path.as_str()))
            .header(header::HOST, authority.as_str())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(content))
            .map_err(Failure::failed)?;
        let answer = sender.send_request(request).await.map_err(Failure::failed)?;
        let status = answer.status();
        let content = answer.into_body().collect().await.map_err(Failure::failed)?;
        Ok((status, content.to_bytes()))
    }
}

fn conflict(reason: &str, value: &Value) -> String {
    let text = |value: &Value, name: &str| {
        value.get(name).and_then(Value::as_str).unwrap_or("?").to_owned()
    };
    let line = |change: &Value| {
        let touches = change["touches"].as_array().map(Vec::as_slice).unwrap_or_default();
        let touches: Vec<&str> = touches.iter().filter_map(Value::as_str).collect();
        let (revision, author) = (text(change, "revision"), text(change, "author"));
        let reason = text(change, "reason");
        format!("revision {revision} by {author} ({reason}): {}", touches.join(", "))
    };
    let changes = value["changes"].as_array().map(Vec::as_slice).unwrap_or_default();
    let lines: Vec<String> = changes.iter().map(line).collect();
    format!("{reason}: {}", lines.join("; "))
}
