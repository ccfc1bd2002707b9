//! Certificate authority for tests, measurements and demos.

use std::io;
use std::path::{Path, PathBuf};

use eelgrassdeal_schema::settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

const CA_FILE: &str = "ca.pem";

/// Issues TLS certificates for nodes, and writes certificates and keys as PEM files to one directory.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    directory: PathBuf,
}

impl CertificateAuthority {
    /// Creates a certificate authority and writes its certificate to `directory`, which is created if
    /// it is missing. The key of the authority is kept in memory only.
    ///
    /// # Errors
    ///
    /// When a file cannot be written or a key cannot be generated.
    pub fn new(directory: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(directory)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(io::Error::other)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let certificate = params.self_signed(&key).map_err(io::Error::other)?;
        std::fs::write(directory.join(CA_FILE), certificate.pem())?;
        Ok(Self { issuer: Issuer::new(params, key), directory: directory.to_owned() })
    }

    /// Issues a certificate with `names` as subject alternative names. The first one determines the
    /// file names.
    ///
    /// # Errors
    ///
    /// When a file cannot be written or a key cannot be generated.
    pub fn issue(&self, names: &[&str]) -> io::Result<TlsSettings> {
        let key = KeyPair::generate().map_err(io::Error::other)?;
        let subjects: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let params = CertificateParams::new(subjects).map_err(io::Error::other)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(io::Error::other)?;
        let first = names.first().copied().unwrap_or("node");
        let certificate_file = self.directory.join(format!("{first}.pem"));
        let key_file = self.directory.join(format!("{first}-key.pem"));
        std::fs::write(&certificate_file, certificate.pem())?;
        std::fs::write(&key_file, key.serialize_pem())?;
        Ok(TlsSettings {
            certificate_file: certificate_file.display().to_string(),
            key_file: key_file.display().to_string(),
            ca_file: self.directory.join(CA_FILE).display().to_string(),
        })
    }
}
