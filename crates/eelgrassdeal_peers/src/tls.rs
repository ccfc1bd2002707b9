//! TLS and transport configuration of peer connections. Both sides authenticate with certificates
//! from PEM files.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use compio::quic::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use compio::quic::{ClientConfig, Connection, ServerConfig, TransportConfig, VarInt};
use eelgrassdeal_schema::settings::TlsSettings;
use error_stack::{Report, ResultExt};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{RootCertStore, version};

use crate::{MAX_MESSAGE_BYTES, PeerError};

const ALPN: &[u8] = b"eelgrassdeal-peer/1";
/// Maximum number of concurrent streams, and thus of concurrent requests, that a peer may open on
/// one connection.
const MAX_STREAMS: u32 = 64;

/// Certificate chain and private key of this node, and the certificate authorities that it trusts.
struct TlsCredentials {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

/// QUIC configurations for opened and for accepted connections.
pub(crate) struct TlsConfigs {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl TlsConfigs {
    /// Loads the PEM files named in `settings` and builds both configurations.
    pub(crate) fn load(
        settings: &TlsSettings,
        idle_timeout: Duration,
    ) -> Result<Self, Report<PeerError>> {
        let credentials = TlsCredentials::load(settings)?;
        let transport = Arc::new(transport_config(idle_timeout)?);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            credentials.roots.clone(),
            provider.clone(),
        )
        .build()
        .change_context(PeerError::InvalidSettings)?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&version::TLS13])
            .change_context(PeerError::InvalidSettings)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
            .change_context(PeerError::InvalidSettings)?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&version::TLS13])
            .change_context(PeerError::InvalidSettings)?
            .with_root_certificates(credentials.roots)
            .with_client_auth_cert(credentials.chain, credentials.key)
            .change_context(PeerError::InvalidSettings)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let server =
            QuicServerConfig::try_from(server).change_context(PeerError::InvalidSettings)?;
        let client =
            QuicClientConfig::try_from(client).change_context(PeerError::InvalidSettings)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        let mut client = ClientConfig::new(Arc::new(client));
        server.transport_config(transport.clone());
        client.transport_config(transport);
        Ok(Self { client, server })
    }
}

impl TlsCredentials {
    fn load(settings: &TlsSettings) -> Result<Self, Report<PeerError>> {
        let mut roots = RootCertStore::empty();
        for certificate in load_certificates(&settings.ca_file)? {
            roots.add(certificate).change_context(PeerError::InvalidSettings)?;
        }
        let chain = load_certificates(&settings.certificate_file)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key_file)
            .change_context(PeerError::InvalidSettings)
            .attach_with(|| settings.key_file.clone())?;
        Ok(Self { chain, key, roots: Arc::new(roots) })
    }
}

fn load_certificates(file: &str) -> Result<Vec<CertificateDer<'static>>, Report<PeerError>> {
    CertificateDer::pem_file_iter(Path::new(file))
        .and_then(Iterator::collect)
        .change_context(PeerError::InvalidSettings)
        .attach_with(|| file.to_owned())
}

fn transport_config(idle_timeout: Duration) -> Result<TransportConfig, Report<PeerError>> {
    let window = u32::try_from(MAX_MESSAGE_BYTES).unwrap_or(u32::MAX);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle_timeout.try_into().change_context(PeerError::InvalidSettings)?))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        // One message of the maximum size may be in flight on each stream, and four of them on a
        // connection.
        .stream_receive_window(VarInt::from_u32(window))
        .receive_window(VarInt::from_u32(window * 4));
    Ok(transport)
}

/// Whether the peer presented a certificate for `node`.
pub(crate) fn has_certificate_for(connection: &Connection, node: &str) -> bool {
    let Some(chain) = connection.peer_identity() else { return false };
    let Some(Ok(certificate)) = chain.first().map(ParsedCertificate::try_from) else {
        return false;
    };
    ServerName::try_from(node)
        .is_ok_and(|name| rustls::client::verify_server_name(&certificate, &name).is_ok())
}
