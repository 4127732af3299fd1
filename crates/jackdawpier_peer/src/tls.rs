//! Mutual TLS from PEM files.

use std::{sync::Arc, time::Duration};

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{RootCertStore, server::WebPkiClientVerifier};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::SetupError;

/// Server name in the certificate of every entry. It names the role, because addresses change.
pub const PEER_NAME: &str = "entry.jackdawpier.internal";
/// ALPN protocol name; an incompatible change of the messages needs a new number.
const ALPN_PROTOCOL: &[u8] = b"jackdawpier/1";

/// Paths of the PEM files with the keys and certificates.
#[derive(Debug, Clone)]
pub struct TlsFiles {
    /// Certificate of the certificate authority.
    pub authority_file: String,
    /// Own certificate.
    pub certificate_file: String,
    /// Own private key.
    pub key_file: String,
}

pub(crate) fn build_configs(
    files: &TlsFiles,
    transport: &Arc<quinn::TransportConfig>,
) -> Result<(quinn::ServerConfig, quinn::ClientConfig), SetupError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let authority = certificates(&files.authority_file)?;
    let chain = certificates(&files.certificate_file)?;
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots.add(certificate).map_err(|error| tls_error(&files.authority_file, &error))?;
    }
    let roots = Arc::new(roots);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .map_err(|error| tls_error(&files.authority_file, &error))?;
    let key_error = |error: rustls::Error| tls_error(&files.key_file, &error);
    let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), private_key(&files.key_file)?)
        .map_err(key_error)?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, private_key(&files.key_file)?)
        .map_err(key_error)?;
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let server =
        QuicServerConfig::try_from(server).map_err(|error| tls_error(&files.key_file, &error))?;
    let client =
        QuicClientConfig::try_from(client).map_err(|error| tls_error(&files.key_file, &error))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::clone(transport)).retry_token_lifetime(Duration::from_secs(15));
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    client.transport_config(Arc::clone(transport));
    Ok((server, client))
}

fn tls_error(file: &str, error: &impl ToString) -> SetupError {
    SetupError::Tls { file: file.to_owned(), detail: error.to_string() }
}

fn certificates(file: &str) -> Result<Vec<CertificateDer<'static>>, SetupError> {
    CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect)
        .map_err(|error| tls_error(file, &error))
}

fn private_key(file: &str) -> Result<PrivateKeyDer<'static>, SetupError> {
    PrivateKeyDer::from_pem_file(file).map_err(|error| tls_error(file, &error))
}
