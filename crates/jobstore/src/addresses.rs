//! Addresses of the other job stores, persisted so that after a restart of all processes the group
//! can elect a leader before membership has found every member. An address is a hint only: each
//! message names its addressee, and any other process at that address drops it.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use yokefall_serving::FleetCell;

use crate::hint_file;

const FILE: &str = "addresses";
const CHECK_INTERVAL: Duration = Duration::from_millis(3_000);

/// Addresses by job store name.
pub type Addresses = BTreeMap<String, SocketAddr>;

/// Reads the stored addresses; empty if the file is missing or corrupt.
pub fn load(folder: &Path) -> Addresses {
    hint_file::load(folder, FILE)
}

/// Replaces the stored addresses.
pub fn save(folder: &Path, addresses: &Addresses) -> Result<()> {
    hint_file::save(folder, FILE, addresses)
}

/// Writes the live job stores' addresses when they change. Never returns. Addresses of gone members
/// are kept until other live ones are known, since all members may be down at once.
pub async fn persist_changes(folder: PathBuf, fleet: FleetCell) {
    let mut saved = Addresses::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let live: Addresses = fleet
            .load()
            .job_stores()
            .filter(|member| member.accepting)
            .map(|member| (member.name.clone(), member.address))
            .collect();
        if live == saved || live.len() < 2 {
            continue;
        }
        if hint_file::save_in_background(folder.clone(), FILE, live.clone()).await {
            saved = live;
        }
    }
}
