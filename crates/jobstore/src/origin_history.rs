//! Persists where streams may have begun lately: all processes may be killed at once, and streams are
//! continued afterwards.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use borsh::{BorshDeserialize, BorshSerialize};
use tokio::time::Instant;
use yokefall_streams::history::{HistoryReport, RouteOrigin, WINDOW_MS};
use yokefall_streams::HistoryRegistry;

use crate::hint_file;

const FILE: &str = "origins";
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an unchanged history is stored: what is older than the window is not used.
const REFRESH_INTERVAL: Duration = Duration::from_millis(15_000);

/// A history on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
struct StoredHistory {
    /// When it was stored, in milliseconds since the Unix epoch.
    stored_ms: u64,
    report: HistoryReport,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Loads the history stored before this process started. Streams begin only while processes run, so
/// that it stays complete if all of them were down. If only this one was, others complete it; after
/// a longer time than streams last, or if the time of day went back, it is not used as complete.
pub fn load(folder: &Path, registry: &HistoryRegistry) {
    let StoredHistory { stored_ms, mut report } = hint_file::load(folder, FILE);
    let is_recent = unix_ms().checked_sub(stored_ms).is_some_and(|age_ms| age_ms < WINDOW_MS);
    if !is_recent {
        report.complete_ms = 0;
    }
    registry.merge(report);
}

/// Stores the history when there are other origins, and regularly. Never returns.
pub async fn persist_changes(folder: PathBuf, registry: Rc<HistoryRegistry>) {
    let mut stored: Vec<RouteOrigin> = Vec::new();
    let mut refresh_at = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let report = registry.report();
        let origins: Vec<RouteOrigin> = report.origins.iter().map(|(origin, _)| *origin).collect();
        let has_changed = origins != stored;
        if !registry.is_complete() || (!has_changed && Instant::now() < refresh_at) {
            continue;
        }
        let history = StoredHistory { stored_ms: unix_ms(), report };
        if hint_file::save_in_background(folder.clone(), FILE, history).await {
            stored = origins;
            refresh_at = Instant::now() + REFRESH_INTERVAL;
        }
    }
}
