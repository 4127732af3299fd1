//! Makes a private authority and the entries' certificates for development.

use std::{fs, io, path::Path};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Name that every entry's certificate carries.
const PEER_NAME: &str = "entry.jackdawpier.internal";

fn failure(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}

/// Writes `authority.pem` and, for each name, `NAME.pem` and `NAME.key` into `folder`.
pub fn write_keys(folder: &Path, names: &[String]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let mut params = CertificateParams::new(Vec::new()).map_err(failure)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().map_err(failure)?;
    let authority = CertifiedIssuer::self_signed(params, key).map_err(failure)?;
    fs::write(folder.join("authority.pem"), authority.pem())?;
    for name in names {
        let params = CertificateParams::new(vec![PEER_NAME.to_owned()]).map_err(failure)?;
        let key = KeyPair::generate().map_err(failure)?;
        let certificate = params.signed_by(&key, &authority).map_err(failure)?;
        fs::write(folder.join(format!("{name}.pem")), certificate.pem())?;
        fs::write(folder.join(format!("{name}.key")), key.serialize_pem())?;
    }
    Ok(())
}
