//! Evacuation requests in a catalog file.

use yokefall_serving::{Evacuation, ListPage, Platform, Source};
use yokefall_standalone::Standalone;

async fn list(source: &mut impl Source<Evacuation>) -> ListPage<Evacuation> {
    source.list(None).await.expect("a list")
}

fn zones(page: &ListPage<Evacuation>) -> Vec<&str> {
    page.items.iter().filter_map(|item| Some(item.value.as_ref()?.zone.as_str())).collect()
}

/// Revisions must be comparable between processes: if each counted its own reads of the file, one
/// with fewer reads than a peer would ignore the file after receiving that peer's state.
#[tokio::test]
async fn processes_that_read_the_same_file_report_the_same_revision() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("catalog.toml");
    std::fs::write(&path, "version = 1\n").expect("a file");
    let platform = Standalone::new(path.clone());
    let (mut first, mut second) = (platform.evacuations(), platform.evacuations());
    let empty = list(&mut first).await;
    assert!(empty.items.is_empty() && empty.revision > 0);
    list(&mut first).await;
    assert_eq!(list(&mut second).await.revision, list(&mut first).await.revision);
    // Revisions have millisecond resolution: the modification times must differ by more than that.
    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    std::fs::write(&path, "version = 2\nevacuate = [\"hall-1\", \"hall-2\"]\n").expect("a file");
    let full = list(&mut second).await;
    assert_eq!(zones(&full), ["hall-1", "hall-2"]);
    assert!(full.revision > empty.revision);
    assert_eq!(list(&mut first).await, full);
}
