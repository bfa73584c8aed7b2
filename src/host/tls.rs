//! TLS of the callers' and operators' listeners, with reloading of the certificate.

use std::{io, sync::Arc, time::Duration};

use {
    tokio::{sync::watch, time},
    tokio_rustls::{
        TlsAcceptor,
        rustls::{
            ServerConfig,
            crypto::ring,
            pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        },
        server::TlsStream,
    },
    toucanhoist_store::socket,
};

use crate::settings::Tls;

const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The certificate in use.
#[derive(Clone, Debug)]
pub(super) struct Certificates {
    current: watch::Receiver<Arc<ServerConfig>>,
}

/// Certificate chain and private key, as PEM.
#[derive(Eq, PartialEq)]
struct Pair {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl Certificates {
    /// Reads the files, and reloads them whenever they change.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the files do not contain a certificate and its private key.
    pub(super) async fn open(tls: Tls) -> io::Result<Certificates> {
        let pair = Pair::read(&tls).await?;
        let (sender, current) = watch::channel(Arc::new(pair.config()?));
        tokio::spawn(reload(tls, pair, sender));
        Ok(Certificates { current })
    }

    /// Performs the TLS handshake with a client.
    ///
    /// # Errors
    ///
    /// The handshake failed, for example because the client does not use TLS.
    pub(super) async fn accept(
        &self,
        stream: socket::Stream,
    ) -> io::Result<TlsStream<socket::Stream>> {
        let config = Arc::clone(&self.current.borrow());
        TlsAcceptor::from(config).accept(stream).await
    }
}

/// Reloads the files when they change, as long as the certificate is used. If they cannot be
/// loaded, the previous certificate stays in use.
async fn reload(tls: Tls, mut pair: Pair, sender: watch::Sender<Arc<ServerConfig>>) {
    while !sender.is_closed() {
        time::sleep(RELOAD_INTERVAL).await;
        let fresh = match Pair::read(&tls).await {
            Ok(fresh) if fresh == pair => continue,
            Ok(fresh) => fresh.config().map(|config| (fresh, config)),
            Err(error) => Err(error),
        };
        match fresh {
            Ok((fresh, config)) => {
                pair = fresh;
                sender.send_replace(Arc::new(config));
            }
            Err(error) => log::warn!(target: "toucanhoist", "certificate not reloaded: {error}"),
        }
    }
}

impl Pair {
    async fn read(tls: &Tls) -> io::Result<Pair> {
        let certificate = tokio::fs::read(&tls.certificate).await?;
        let key = tokio::fs::read(&tls.key).await?;
        Ok(Pair { certificate, key })
    }

    fn config(&self) -> io::Result<ServerConfig> {
        let chain = CertificateDer::pem_slice_iter(&self.certificate);
        let chain = chain.collect::<Result<Vec<_>, _>>().map_err(io::Error::other)?;
        let key = PrivateKeyDer::from_pem_slice(&self.key).map_err(io::Error::other)?;
        ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(io::Error::other)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(io::Error::other)
    }
}
