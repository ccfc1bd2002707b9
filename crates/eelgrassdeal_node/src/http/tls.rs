//! TLS for connections of callers.

use std::path::Path;
use std::sync::Arc;

use compio::tls::TlsAcceptor;
use eelgrassdeal_schema::settings::TlsSettings;
use error_stack::{Report, ResultExt};
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::lifecycle::NodeError;

const ALPN: &[u8] = b"http/1.1";

/// Builds an acceptor from the certificate and key files of `settings`; `None` if they name
/// neither.
pub(crate) fn load_tls_acceptor(
    settings: &TlsSettings,
) -> Result<Option<TlsAcceptor>, Report<NodeError>> {
    if settings.certificate_file.is_empty() && settings.key_file.is_empty() {
        return Ok(None);
    }
    let chain = CertificateDer::pem_file_iter(Path::new(&settings.certificate_file))
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .change_context(NodeError)
        .attach_with(|| format!("tls.certificate_file = {:?}", settings.certificate_file))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .change_context(NodeError)
        .attach_with(|| format!("tls.key_file = {:?}", settings.key_file))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .change_context(NodeError)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context(NodeError)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(Some(TlsAcceptor::from(Arc::new(config))))
}
