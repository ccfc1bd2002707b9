//! Mutual TLS from PEM files.

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
/// Requests of one peer that are handled at the same time.
const MAX_STREAMS: u32 = 64;

/// Certificates of this node and of the authority that signs all nodes.
struct TlsFiles {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

/// Configurations of both sides of a connection.
pub(crate) struct TlsConfigs {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl TlsConfigs {
    /// Reads the files of `settings`.
    pub(crate) fn read(
        settings: &TlsSettings,
        idle_timeout: Duration,
    ) -> Result<Self, Report<PeerError>> {
        let files = TlsFiles::read(settings)?;
        let transport = Arc::new(transport_config(idle_timeout)?);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(files.roots.clone(), provider.clone())
                .build()
                .change_context(PeerError::Settings)?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&version::TLS13])
            .change_context(PeerError::Settings)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(files.chain.clone(), files.key.clone_key())
            .change_context(PeerError::Settings)?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&version::TLS13])
            .change_context(PeerError::Settings)?
            .with_root_certificates(files.roots)
            .with_client_auth_cert(files.chain, files.key)
            .change_context(PeerError::Settings)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let server = QuicServerConfig::try_from(server).change_context(PeerError::Settings)?;
        let client = QuicClientConfig::try_from(client).change_context(PeerError::Settings)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        let mut client = ClientConfig::new(Arc::new(client));
        server.transport_config(transport.clone());
        client.transport_config(transport);
        Ok(Self { client, server })
    }
}

impl TlsFiles {
    fn read(settings: &TlsSettings) -> Result<Self, Report<PeerError>> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&settings.ca_file)? {
            roots.add(certificate).change_context(PeerError::Settings)?;
        }
        let chain = read_certificates(&settings.certificate_file)?;
        let key = PrivateKeyDer::from_pem_file(&settings.key_file)
            .change_context(PeerError::Settings)
            .attach_with(|| settings.key_file.clone())?;
        Ok(Self { chain, key, roots: Arc::new(roots) })
    }
}

fn read_certificates(file: &str) -> Result<Vec<CertificateDer<'static>>, Report<PeerError>> {
    CertificateDer::pem_file_iter(Path::new(file))
        .and_then(Iterator::collect)
        .change_context(PeerError::Settings)
        .attach_with(|| file.to_owned())
}

fn transport_config(idle_timeout: Duration) -> Result<TransportConfig, Report<PeerError>> {
    let window = u32::try_from(MAX_MESSAGE_BYTES).unwrap_or(u32::MAX);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle_timeout.try_into().change_context(PeerError::Settings)?))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        // A peer may have the bytes of four whole messages on their way to this node.
        .stream_receive_window(VarInt::from_u32(window))
        .receive_window(VarInt::from_u32(window * 4));
    Ok(transport)
}

/// Whether the certificate that the peer presented is for `node`.
pub(crate) fn is_certified(connection: &Connection, node: &str) -> bool {
    let Some(chain) = connection.peer_identity() else { return false };
    let Some(Ok(certificate)) = chain.first().map(ParsedCertificate::try_from) else {
        return false;
    };
    ServerName::try_from(node)
        .is_ok_and(|name| rustls::client::verify_server_name(&certificate, &name).is_ok())
}
