//! The write-ahead log: synced records are durable, a torn record ends it, old files are ignored.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;

use yokefall_consensus::{Entry, Payload, Snapshot, Write};
use yokefall_jobstore::wal::{Opened, Rewrite, Wal};

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(index.to_le_bytes().to_vec().into()) }
}

fn open(folder: &Path) -> Opened {
    Wal::open(folder, 7).expect("a log")
}

fn with_entries(folder: &Path, entries: &[Entry]) {
    let mut wal = open(folder).wal;
    wal.add(&Write::Entries(entries.to_vec()));
    wal.sync().expect("a sync");
}

#[test]
fn an_empty_folder_gets_a_permanent_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = open(folder.path());
    assert!(first.was_empty);
    drop(first);
    let again = Wal::open(folder.path(), 8).expect("a log");
    assert_eq!((again.incarnation, again.was_empty), (7, false));
}

#[test]
fn synced_records_are_recovered() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut wal = open(folder.path()).wal;
    wal.add(&Write::State { term: 3, voted_for: None, committed_members_index: 2 });
    wal.add(&Write::Entries(vec![entry(1, 1), entry(2, 1), entry(3, 1)]));
    wal.add(&Write::Entries(vec![entry(2, 3)]));
    wal.sync().expect("a sync");
    let recovered = open(folder.path()).recovered;
    assert_eq!((recovered.term, recovered.committed_members_index), (3, 2));
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 3)]);
}

#[test]
fn a_record_torn_at_any_byte_ends_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    with_entries(folder.path(), &[entry(1, 1)]);
    let path = folder.path().join("log-1");
    let whole = std::fs::read(&path).expect("the file").len();
    with_entries(folder.path(), &[entry(2, 1)]);
    let bytes = std::fs::read(&path).expect("the file");
    for length in whole..bytes.len() {
        std::fs::write(&path, &bytes[..length]).expect("a torn file");
        let opened = open(folder.path());
        assert_eq!(opened.recovered.entries, [entry(1, 1)], "torn at {length}");
        drop(opened);
        // Records written afterwards are recovered.
        with_entries(folder.path(), &[entry(2, 2)]);
        assert_eq!(open(folder.path()).recovered.entries, [entry(1, 1), entry(2, 2)]);
    }
}

#[test]
fn a_corrupt_record_before_valid_ones_ends_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    with_entries(folder.path(), &[entry(1, 1)]);
    let path = folder.path().join("log-1");
    let start = std::fs::read(&path).expect("the file").len();
    with_entries(folder.path(), &[entry(2, 1)]);
    with_entries(folder.path(), &[entry(3, 1)]);
    let mut bytes = std::fs::read(&path).expect("the file");
    bytes[start + 12] ^= 0xff;
    std::fs::write(&path, &bytes).expect("a corrupt file");
    assert_eq!(open(folder.path()).recovered.entries, [entry(1, 1)]);
}

#[test]
fn a_rewrite_replaces_the_whole_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut wal = open(folder.path()).wal;
    wal.add(&Write::Entries(vec![entry(1, 1), entry(2, 1), entry(3, 1)]));
    wal.sync().expect("a sync");
    let snapshot =
        Snapshot { index: 2, term: 1, state: b"state".to_vec().into(), ..Snapshot::default() };
    let rewrite = Rewrite {
        term: 4,
        voted_for: None,
        committed_members_index: 1,
        snapshot: snapshot.clone(),
        entries: vec![entry(3, 1)],
    };
    wal.rewrite(rewrite).expect("a rewrite");
    wal.add(&Write::Entries(vec![entry(4, 4)]));
    wal.sync().expect("a sync");
    drop(wal);
    let opened = open(folder.path());
    assert_eq!(opened.incarnation, 7);
    assert_eq!(opened.recovered.snapshot, snapshot);
    assert_eq!(opened.recovered.entries, [entry(3, 1), entry(4, 4)]);
    assert_eq!((opened.recovered.term, opened.recovered.committed_members_index), (4, 1));
}

#[test]
fn an_old_file_that_reappears_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut wal = open(folder.path()).wal;
    wal.add(&Write::Entries(vec![entry(1, 1)]));
    wal.sync().expect("a sync");
    let former = std::fs::read(folder.path().join("log-1")).expect("the former file");
    let rewrite = Rewrite {
        term: 2,
        voted_for: None,
        committed_members_index: 0,
        snapshot: Snapshot { index: 1, term: 1, ..Snapshot::default() },
        entries: Vec::new(),
    };
    wal.rewrite(rewrite).expect("a rewrite");
    drop(wal);
    std::fs::write(folder.path().join("log-1"), former).expect("the former file again");
    let recovered = open(folder.path()).recovered;
    assert_eq!((recovered.term, recovered.snapshot.index), (2, 1));
}

#[test]
fn an_unfinished_rewrite_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    with_entries(folder.path(), &[entry(1, 1)]);
    let mut draft =
        OpenOptions::new().create_new(true).write(true).open(folder.path().join("log-2"));
    draft.as_mut().expect("a file").write_all(b"not sealed").expect("a write");
    assert_eq!(open(folder.path()).recovered.entries, [entry(1, 1)]);
}
