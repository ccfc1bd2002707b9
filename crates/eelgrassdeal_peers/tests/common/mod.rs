//! Certificates, endpoints and messages for the tests of peer connections.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eelgrassdeal_peers::{PeerAddress, PeerEndpoint, PeerSettings};
use eelgrassdeal_schema::peer::{PeerReply, PeerRequest};
use eelgrassdeal_schema::settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Number of authorities created, which keeps their directories distinct.
static AUTHORITY_COUNT: AtomicU32 = AtomicU32::new(0);

/// Request timeout of tests in which no call is expected to time out.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// A certificate authority with a temporary directory for the PEM files. Dropping it removes the
/// directory.
pub(crate) struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    directory: PathBuf,
}

impl CertificateAuthority {
    pub(crate) fn new() -> Self {
        let number = AUTHORITY_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir()
            .join(format!("eelgrassdeal-peers-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        std::fs::write(directory.join("ca.pem"), certificate.pem()).unwrap();
        Self { issuer: Issuer::new(params, key), directory }
    }

    /// Issues a certificate for `node` and returns settings with the paths of its files.
    pub(crate) fn issue_certificate(&self, node: &str) -> TlsSettings {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![node.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |name: &str| self.directory.join(format!("{node}-{name}.pem"));
        std::fs::write(path("certificate"), certificate.pem()).unwrap();
        std::fs::write(path("key"), key.serialize_pem()).unwrap();
        let text = |path: PathBuf| path.to_str().unwrap().to_owned();
        TlsSettings {
            certificate_file: text(path("certificate")),
            key_file: text(path("key")),
            ca_file: text(self.directory.join("ca.pem")),
        }
    }

    /// Endpoint settings for `node`, with a free port on the loopback address.
    pub(crate) fn peer_settings(&self, node: &str) -> PeerSettings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        PeerSettings::new(any_port, self.issue_certificate(node)).with_request_timeout(LONG_TIMEOUT)
    }

    pub(crate) async fn bind(&self, node: &str) -> PeerEndpoint {
        PeerEndpoint::bind(&self.peer_settings(node)).await.unwrap()
    }
}

impl Drop for CertificateAuthority {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

pub(crate) fn request_from(node: &str) -> PeerRequest {
    PeerRequest { node: node.to_owned(), ..PeerRequest::default() }
}

pub(crate) fn reply_from(node: &str) -> PeerReply {
    PeerReply { node: node.to_owned(), ..PeerReply::default() }
}

pub(crate) fn peer_address(node: &str, endpoint: &PeerEndpoint) -> PeerAddress {
    PeerAddress { node: node.into(), address: endpoint.local_address().unwrap() }
}

/// Replies to every request in the name of `node` until the endpoint is closed.
pub(crate) fn serve_as(endpoint: &PeerEndpoint, node: &'static str) {
    let endpoint = endpoint.clone();
    compio::runtime::spawn(async move {
        endpoint.serve(move |_| async move { reply_from(node) }).await;
    })
    .detach();
}
