//! Small checksummed files beside the log, each with one hint; a missing or corrupt one is empty.

use std::fs::File;
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_telemetry::{EventName, LogLine};

/// Bytes of the checksum that precedes the content.
const CHECKSUM_BYTES: usize = 4;

/// Reads the value of a file; the default if the file is missing or corrupt.
pub fn load<T: BorshDeserialize + Default>(folder: &Path, name: &'static str) -> T {
    match read(&folder.join(name)) {
        Ok(value) => value,
        Err(error) if error.kind() == ErrorKind::NotFound => T::default(),
        Err(error) => {
            log_failure(name, "read", &error);
            T::default()
        }
    }
}

fn read<T: BorshDeserialize>(path: &Path) -> Result<T> {
    let bytes = std::fs::read(path)?;
    let Some((checksum, content)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(Error::new(ErrorKind::InvalidData, "file is shorter than its checksum"));
    };
    if u32::from_le_bytes(*checksum) != crc32fast::hash(content) {
        return Err(Error::new(ErrorKind::InvalidData, "checksum mismatch"));
    }
    borsh::from_slice(content)
}

/// Replaces the value of a file. An interrupted write leaves a file with a wrong checksum.
pub fn save<T: BorshSerialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let content = borsh::to_vec(value)?;
    let mut file = File::create(folder.join(name))?;
    file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
    file.write_all(&content)?;
    file.sync_all()
}

/// Writes on a blocking thread, since a disk may hang for seconds. Returns whether it succeeded.
pub async fn save_in_background<T>(folder: PathBuf, name: &'static str, value: T) -> bool
where
    T: BorshSerialize + Send + 'static,
{
    let saved = tokio::task::spawn_blocking(move || save(&folder, name, &value)).await;
    match saved {
        Ok(Ok(())) => return true,
        Ok(Err(error)) => log_failure(name, "write", &error),
        Err(error) => log_failure(name, "write", &Error::other(error)),
    }
    false
}

fn log_failure(name: &'static str, step: &'static str, error: &Error) {
    LogLine::new(EventName::DiskFailed)
        .id(name)
        .field("step", step)
        .field("cause", error.to_string())
        .write();
}
