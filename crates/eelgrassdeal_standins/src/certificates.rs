//! Stand-in for the authority that issues the certificates of nodes.

use std::io;
use std::path::{Path, PathBuf};

use eelgrassdeal_schema::settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

const AUTHORITY_FILE: &str = "ca.pem";

/// An authority whose certificates and keys are PEM files in one folder.
pub struct CertificateFolder {
    issuer: Issuer<'static, KeyPair>,
    folder: PathBuf,
}

impl CertificateFolder {
    /// Makes a new authority in `folder`.
    ///
    /// # Errors
    ///
    /// When a file cannot be written or a key cannot be made.
    pub fn new(folder: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(io::Error::other)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let certificate = params.self_signed(&key).map_err(io::Error::other)?;
        std::fs::write(folder.join(AUTHORITY_FILE), certificate.pem())?;
        Ok(Self { issuer: Issuer::new(params, key), folder: folder.to_owned() })
    }

    /// Issues a certificate for these names, the first of which names the files.
    ///
    /// # Errors
    ///
    /// When a file cannot be written or a key cannot be made.
    pub fn issue(&self, names: &[&str]) -> io::Result<TlsSettings> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let subjects: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let params = CertificateParams::new(subjects).map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        let first = names.first().copied().unwrap_or("node");
        let certificate_file = self.folder.join(format!("{first}.pem"));
        let key_file = self.folder.join(format!("{first}-key.pem"));
        std::fs::write(&certificate_file, certificate.pem())?;
        std::fs::write(&key_file, key.serialize_pem())?;
        Ok(TlsSettings {
            certificate_file: certificate_file.display().to_string(),
            key_file: key_file.display().to_string(),
            ca_file: self.folder.join(AUTHORITY_FILE).display().to_string(),
        })
    }
}
