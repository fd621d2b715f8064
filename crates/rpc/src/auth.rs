//! API keys: read from a file, read again when it changes.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tonic::metadata::MetadataMap;
use tonic::Status;
use yokefall_telemetry::{Event, Level};
use yokefall_types::key::{Identity, KeyRing, Role};

/// A file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// What the file is for.
    pub step: &'static str,
    /// The file.
    pub file: PathBuf,
    /// The cause.
    pub cause: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.step, self.file.display(), self.cause)
    }
}

impl std::error::Error for FileError {}

/// Tells who a call comes from.
#[derive(Clone, Debug)]
pub struct Authenticator {
    keys: Arc<ArcSwap<KeyRing>>,
}

impl Authenticator {
    /// Reads the key file, and reads it again for ever when it changes. A broken file leaves the
    /// keys read last in force.
    pub fn start(file: PathBuf, interval: Duration) -> Result<Self, FileError> {
        let (text, ring) = read(&file)?;
        let keys = Arc::new(ArcSwap::from_pointee(ring));
        tokio::spawn(reload(file, interval, text, keys.clone()));
        Ok(Self { keys })
    }

    /// The identity behind a call, which must have the wanted role.
    pub fn check(&self, metadata: &MetadataMap, wanted: Role) -> Result<Identity, Status> {
        let found = bearer(metadata).and_then(|secret| self.keys.load().identify(secret));
        let Some(identity) = found else {
            Event::new(Level::Warn, "authenticate").write("missing or wrong key");
            return Err(Status::unauthenticated("authorization: missing or wrong key"));
        };
        if identity.role != wanted {
            let partner = &identity.partner;
            Event::new(Level::Warn, "authenticate")
                .write(format!("key of partner {partner} has another role"));
            return Err(Status::permission_denied("authorization: the key has another role"));
        }
        Ok(identity)
    }
}

fn bearer(metadata: &MetadataMap) -> Option<&str> {
    metadata.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ")
}

fn read(file: &Path) -> Result<(String, KeyRing), FileError> {
    let error = |cause: String| FileError { step: "read keys", file: file.to_owned(), cause };
    let text = std::fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
    let ring = KeyRing::parse(&text).map_err(error)?;
    Ok((text, ring))
}

async fn reload(file: PathBuf, interval: Duration, mut held: String, keys: Arc<ArcSwap<KeyRing>>) {
    loop {
        tokio::time::sleep(interval).await;
        match read(&file) {
            Ok((text, ring)) if text != held => {
                held = text;
                keys.store(Arc::new(ring));
                Event::new(Level::Info, "reload keys").write(file.display());
            }
            Ok(_) => {}
            Err(error) => Event::new(Level::Error, "reload keys").write(error),
        }
    }
}
