//! Addresses of the other job stores, kept on the disk. After a loss of all processes the group can elect
//! a leader before membership has found everybody again. An address is a hint and proves nothing: a message
//! names the member that it is for, and another process at the address drops it.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use yokefall_serving::FleetCell;

use crate::hint_file;

/// Name of the file.
const FILE: &str = "addresses";
/// Interval at which the members are looked at; they change when machines come and go.
const CHECK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Addresses by name of the job store.
pub type Addresses = BTreeMap<String, SocketAddr>;

/// Reads the addresses that were kept; none where the file is not there, or is torn.
pub fn load(folder: &Path) -> Addresses {
    hint_file::load(folder, FILE)
}

/// Writes the addresses in the place of those before.
pub fn save(folder: &Path, addresses: &Addresses) -> Result<()> {
    hint_file::save(folder, FILE, addresses)
}

/// Keeps the addresses of the live job stores, for ever. Those of members that are gone stay until
/// others are known: all may be gone at once.
pub async fn persist_changes(folder: PathBuf, fleet: FleetCell) {
    let mut kept = Addresses::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let live: Addresses = fleet
            .load()
            .job_stores()
            .filter(|member| member.accepting)
            .map(|member| (member.name.clone(), member.address))
            .collect();
        if live == kept || live.len() < 2 {
            continue;
        }
        if hint_file::save_in_background(folder.clone(), FILE, live.clone()).await {
            kept = live;
        }
    }
}
