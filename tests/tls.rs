//! TLS of the listeners, with a certificate that is replaced while the host runs.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use {
    tokio::{net::TcpStream, time},
    tokio_rustls::{
        TlsConnector,
        rustls::{
            ClientConfig, RootCertStore,
            crypto::ring,
            pki_types::{CertificateDer, ServerName, pem::PemObject},
        },
    },
    toucanhoist::{host::Host, settings::Tls},
    toucanhoist_fakes::platform::Faulty,
};

mod common;

use common::settings;

const TIMEOUT: Duration = Duration::from_secs(30);

fn file(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/certificates").join(name)
}

/// Whether a client that trusts only `certificate` can connect to the listener.
async fn can_connect(address: SocketAddr, certificate: &str) -> bool {
    let mut roots = RootCertStore::empty();
    let certificate = CertificateDer::from_pem_file(file(certificate)).expect("a certificate");
    roots.add(certificate).expect("a certificate that can be trusted");
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("known versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.expect("the connection works");
    let name = ServerName::try_from("localhost").expect("valid name");
    TlsConnector::from(Arc::new(config)).connect(name, stream).await.is_ok()
}

#[tokio::test]
async fn a_replaced_certificate_is_served_without_a_restart() {
    let folder = std::env::temp_dir().join(format!("toucanhoist-tls-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is created");
    let tls = Tls { certificate: folder.join("chain.pem"), key: folder.join("key.pem") };
    let install = |name: &str| {
        fs::copy(file(&format!("{name}.key")), &tls.key).expect("a key");
        fs::copy(file(&format!("{name}.pem")), &tls.certificate).expect("a certificate");
    };
    install("first");
    let mut settings = settings("entry-1", "lake-1");
    settings.tls = Some(tls.clone());
    let platform = Arc::new(Faulty::new());
    let host = Host::spawn(settings, platform as Arc<_>).await.expect("the host starts");
    let addresses = host.addresses();
    for address in [addresses.callers, addresses.operators] {
        assert!(can_connect(address, "first.pem").await);
        assert!(!can_connect(address, "second.pem").await);
    }
    install("second");
    let replaced = async {
        while !can_connect(addresses.callers, "second.pem").await {
            time::sleep(Duration::from_millis(50)).await;
        }
        while !can_connect(addresses.operators, "second.pem").await {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(TIMEOUT, replaced).await.expect("the new certificate is served");
    fs::remove_dir_all(folder).expect("the folder is removed");
}

#[tokio::test]
async fn a_host_without_its_certificate_does_not_start() {
    let mut settings = settings("entry-1", "lake-1");
    settings.tls = Some(Tls { certificate: file("none.pem"), key: file("none.key") });
    assert!(Host::spawn(settings, Arc::new(Faulty::new()) as Arc<_>).await.is_err());
}

#[tokio::test]
async fn an_operator_reaches_a_host_over_tls() {
    let mut settings = settings("entry-1", "lake-1");
    settings.tls = Some(Tls { certificate: file("first.pem"), key: file("first.key") });
    let host =
        Host::spawn(settings, Arc::new(Faulty::new()) as Arc<_>).await.expect("the host starts");
    let url = format!("https://localhost:{}", host.addresses().operators.port());
    let status = async |ca: &str| {
        tokio::process::Command::new(env!("CARGO_BIN_EXE_toucanhoist"))
            .args(["status", "--operator", &url, "--token", "token", "--json", "--ca"])
            .arg(file(ca))
            .output()
            .await
            .expect("the command runs")
    };
    let trusted = status("first.pem").await;
    assert!(trusted.status.success(), "{}", String::from_utf8_lossy(&trusted.stderr));
    let text = String::from_utf8_lossy(&trusted.stdout).into_owned();
    assert!(text.contains("\"revisions\""), "{text}");
    assert!(!status("second.pem").await.status.success());
}
