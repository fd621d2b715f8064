//! Small files beside the log that hold hints: one value each, with a checksum before it. A file that is
//! torn, or missing, is as if nothing had been kept.

use std::fs::File;
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_telemetry::{EventName, LogLine};

/// Bytes of the checksum before the content.
const CHECKSUM_BYTES: usize = 4;

/// Reads what was kept in a file of the folder; the default where it is not there, or is torn.
pub fn load<T: BorshDeserialize + Default>(folder: &Path, name: &'static str) -> T {
    match read(&folder.join(name)) {
        Ok(kept) => kept,
        Err(error) if error.kind() == ErrorKind::NotFound => T::default(),
        Err(error) => {
            tell_failed(name, "read", &error);
            T::default()
        }
    }
}

fn read<T: BorshDeserialize>(path: &Path) -> Result<T> {
    let bytes = std::fs::read(path)?;
    let Some((checksum, content)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(Error::new(ErrorKind::InvalidData, "shorter than its checksum"));
    };
    if u32::from_le_bytes(*checksum) != crc32fast::hash(content) {
        return Err(Error::new(ErrorKind::InvalidData, "its checksum differs"));
    }
    borsh::from_slice(content)
}

/// Writes a value in the place of the one before. A write that is cut off leaves a file whose checksum
/// differs.
pub fn save<T: BorshSerialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let content = borsh::to_vec(value)?;
    let mut file = File::create(folder.join(name))?;
    file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
    file.write_all(&content)?;
    file.sync_all()
}

/// Writes a value on a thread of its own: a disk may hang for seconds. Returns whether it is kept.
pub async fn save_aside<T>(folder: PathBuf, name: &'static str, value: T) -> bool
where
    T: BorshSerialize + Send + 'static,
{
    let saved = tokio::task::spawn_blocking(move || save(&folder, name, &value)).await;
    match saved {
        Ok(Ok(())) => return true,
        Ok(Err(error)) => tell_failed(name, "write", &error),
        Err(error) => tell_failed(name, "write", &Error::other(error)),
    }
    false
}

fn tell_failed(name: &'static str, step: &'static str, error: &Error) {
    LogLine::new(EventName::DiskFailed)
        .id(name)
        .field("step", step)
        .field("cause", error.to_string())
        .write();
}
