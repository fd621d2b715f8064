//! Addresses of the other job stores, kept on the disk. After a loss of all processes the group can elect
//! a leader before membership has found everybody again. An address is a hint and proves nothing: a message
//! names the member that it is for, and another process at the address drops it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Error, ErrorKind, Result, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use yokefall_serving::FleetCell;
use yokefall_telemetry::{EventName, Line};

/// Name of the file.
const FILE: &str = "addresses";
/// Bytes of the checksum before the content.
const CHECKSUM_BYTES: usize = 4;
/// Interval at which the members are looked at; they change when machines come and go.
const LOOK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Addresses by name of the job store.
pub type Addresses = BTreeMap<String, SocketAddr>;

/// Reads the addresses that were kept; none where the file is not there, or is torn.
pub fn load(folder: &Path) -> Addresses {
    match read(&folder.join(FILE)) {
        Ok(addresses) => addresses,
        Err(error) if error.kind() == ErrorKind::NotFound => Addresses::new(),
        Err(error) => {
            tell_failed("read", &error);
            Addresses::new()
        }
    }
}

fn read(path: &Path) -> Result<Addresses> {
    let bytes = std::fs::read(path)?;
    let Some((checksum, content)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(Error::new(ErrorKind::InvalidData, "shorter than its checksum"));
    };
    if u32::from_le_bytes(*checksum) != crc32fast::hash(content) {
        return Err(Error::new(ErrorKind::InvalidData, "its checksum differs"));
    }
    borsh::from_slice(content)
}

/// Writes the addresses in the place of those before. A write that is cut off leaves a file whose
/// checksum differs.
pub fn save(folder: &Path, addresses: &Addresses) -> Result<()> {
    let content = borsh::to_vec(addresses)?;
    let mut file = File::create(folder.join(FILE))?;
    file.write_all(&crc32fast::hash(&content).to_le_bytes())?;
    file.write_all(&content)?;
    file.sync_all()
}

/// Keeps the addresses of the live job stores, for ever. Those of members that are gone stay until
/// others are known: all may be gone at once.
pub async fn keep(folder: PathBuf, fleet: FleetCell) {
    let mut kept = Addresses::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let live: Addresses = fleet
            .load()
            .job_stores()
            .filter(|member| member.accepting)
            .map(|member| (member.name.clone(), member.address))
            .collect();
        if live == kept || live.len() < 2 {
            continue;
        }
        let (folder, addresses) = (folder.clone(), live.clone());
        // A disk may hang for seconds.
        let saved = tokio::task::spawn_blocking(move || save(&folder, &addresses)).await;
        match saved {
            Ok(Ok(())) => kept = live,
            Ok(Err(error)) => tell_failed("write", &error),
            Err(error) => tell_failed("write", &Error::other(error)),
        }
    }
}

fn tell_failed(step: &'static str, error: &Error) {
    Line::new(EventName::DiskFailed)
        .id(FILE)
        .field("step", step)
        .field("cause", error.to_string())
        .write();
}
