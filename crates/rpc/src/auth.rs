//! Authentication by API keys from a file, which is reloaded when it changes.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tonic::metadata::MetadataMap;
use tonic::Status;
use yokefall_telemetry::{Event, Level};
use yokefall_types::key::{Identity, KeyRing, Role};

/// A configured file that cannot be read or is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The operation that failed, such as `read keys`.
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

/// Identifies the sender of a call by its API key.
#[derive(Clone, Debug)]
pub struct Authenticator {
    keys: Arc<ArcSwap<KeyRing>>,
}

impl Authenticator {
    /// Reads the key file and reloads it on change. While it is invalid, the last keys stay in use.
    pub fn start(file: PathBuf, interval: Duration) -> Result<Self, FileError> {
        let (text, ring) = read_keys(&file)?;
        let keys = Arc::new(ArcSwap::from_pointee(ring));
        tokio::spawn(reload(file, interval, text, keys.clone()));
        Ok(Self { keys })
    }

    /// Returns the identity of the caller, or an error if it does not have the required role.
    pub fn check(&self, metadata: &MetadataMap, required_role: Role) -> Result<Identity, Status> {
        let found = bearer_token(metadata).and_then(|secret| self.keys.load().identify(secret));
        let Some(identity) = found else {
            Event::new(Level::Warn, "authenticate").write("missing or wrong key");
            return Err(Status::unauthenticated("authorization: missing or wrong key"));
        };
        if identity.role != required_role {
            let partner = &identity.partner;
            Event::new(Level::Warn, "authenticate")
                .write(format!("key of partner {partner} has another role"));
            return Err(Status::permission_denied("authorization: the key has another role"));
        }
        Ok(identity)
    }
}

fn bearer_token(metadata: &MetadataMap) -> Option<&str> {
    metadata.get("authorization")?.to_str().ok()?.strip_prefix("Bearer ")
}

fn read_keys(file: &Path) -> Result<(String, KeyRing), FileError> {
    let error = |cause: String| FileError { step: "read keys", file: file.to_owned(), cause };
    let text = std::fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
    let ring = KeyRing::parse(&text).map_err(error)?;
    Ok((text, ring))
}

async fn reload(
    file: PathBuf,
    interval: Duration,
    mut current_text: String,
    keys: Arc<ArcSwap<KeyRing>>,
) {
    loop {
        tokio::time::sleep(interval).await;
        match read_keys(&file) {
            Ok((text, ring)) if text != current_text => {
                current_text = text;
                keys.store(Arc::new(ring));
                Event::new(Level::Info, "reload keys").write(file.display());
            }
            Ok(_) => {}
            Err(error) => Event::new(Level::Error, "reload keys").write(error),
        }
    }
}
