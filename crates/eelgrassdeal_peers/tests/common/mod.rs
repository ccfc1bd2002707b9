//! Certificates and servers for the tests of peer connections.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eelgrassdeal_peers::{PeerAddress, PeerEndpoint, PeerSettings};
use eelgrassdeal_schema::peer::{PeerReply, PeerRequest};
use eelgrassdeal_schema::settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

static AUTHORITIES: AtomicU32 = AtomicU32::new(0);

pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// A certificate authority with its files in a folder of its own.
pub(crate) struct Authority {
    issuer: Issuer<'static, KeyPair>,
    folder: PathBuf,
}

impl Authority {
    pub(crate) fn new() -> Self {
        let number = AUTHORITIES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir()
            .join(format!("eelgrassdeal-peers-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        std::fs::write(folder.join("ca.pem"), certificate.pem()).unwrap();
        Self { issuer: Issuer::new(params, key), folder }
    }

    /// Files for a certificate of `node`.
    pub(crate) fn files(&self, node: &str) -> TlsSettings {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![node.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |name: &str| self.folder.join(format!("{node}-{name}.pem"));
        std::fs::write(path("certificate"), certificate.pem()).unwrap();
        std::fs::write(path("key"), key.serialize_pem()).unwrap();
        let text = |path: PathBuf| path.to_str().unwrap().to_owned();
        TlsSettings {
            certificate_file: text(path("certificate")),
            key_file: text(path("key")),
            ca_file: text(self.folder.join("ca.pem")),
        }
    }

    pub(crate) fn settings(&self, node: &str) -> PeerSettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        PeerSettings::new(any, self.files(node)).with_request_timeout(LONG_TIMEOUT)
    }

    pub(crate) async fn bind(&self, node: &str) -> PeerEndpoint {
        PeerEndpoint::bind(&self.settings(node)).await.unwrap()
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn request_of(node: &str) -> PeerRequest {
    PeerRequest { node: node.to_owned(), ..PeerRequest::default() }
}

pub(crate) fn reply_of(node: &str) -> PeerReply {
    PeerReply { node: node.to_owned(), ..PeerReply::default() }
}

pub(crate) fn address_of(node: &str, endpoint: &PeerEndpoint) -> PeerAddress {
    PeerAddress { node: node.into(), address: endpoint.local_address().unwrap() }
}

/// Answers every request as `node` until the endpoint is closed.
pub(crate) fn serve_as(endpoint: &PeerEndpoint, node: &'static str) {
    let endpoint = endpoint.clone();
    compio::runtime::spawn(async move {
        endpoint.serve(move |_| async move { reply_of(node) }).await;
    })
    .detach();
}
