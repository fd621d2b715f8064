//! Recovery of the journal after a restart, paging of results, and the order of callbacks.

use yokefall_core::jobs::JobRecord;
use yokefall_peer::{JobHeader, LeaseToken};
use yokefall_storage::{Journal, JournalTask, JournalWriter};
use yokefall_types::{
    ItemOutcome, ItemResult, JobId, PartnerName, RepeatPolicy, ServiceName, TenantName,
};

const UPLOAD: u64 = 7;
const UNACCEPTED_UPLOAD: u64 = 8;

fn accepted() -> JobRecord {
    JobRecord::Accepted {
        number: 1,
        upload: UPLOAD,
        header: JobHeader {
            job: JobId {
                partner: PartnerName::new("board"),
                tenant: TenantName::new("tenant"),
                key: "job".into(),
            },
            service: ServiceName::new("pathmind"),
            priority: 0,
            repeat: RepeatPolicy::Forbidden,
            deadline_ms: 1_000,
            max_tokens: 8,
        },
        digest: 3,
        items: 2,
        accepted_unix_ms: 5,
    }
}

fn started(index: u32) -> JobRecord {
    JobRecord::Started { number: 1, index, token: LeaseToken { epoch: 1, attempt: 1 } }
}

fn ended(index: u32) -> JobRecord {
    let body = b"answer".to_vec();
    let result = ItemResult { index, outcome: ItemOutcome::Completed, attempt: 1, body };
    JobRecord::Ended { number: 1, result }
}

#[test]
fn records_survive_a_restart_and_epochs_grow() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    {
        let journal = Journal::open(folder.path()).expect("open");
        assert_eq!(journal.epoch(), 1);
        journal.write_bodies(UPLOAD, 0, &[b"a".to_vec(), b"b".to_vec()]).expect("bodies");
        journal.write_bodies(UNACCEPTED_UPLOAD, 0, &[b"c".to_vec()]).expect("bodies");
        journal.write(&[accepted(), started(0), started(1)]).expect("write");
        journal.write(&[ended(0), JobRecord::NotStarted { number: 1, index: 1 }]).expect("write");
    }
    let journal = Journal::open(folder.path()).expect("open again");
    assert_eq!(journal.epoch(), 2);
    let mut records = Vec::new();
    journal.recover(|record| records.push(record)).expect("recover");
    assert_eq!(records[0], accepted());
    assert_eq!(records[1], started(0));
    assert!(matches!(&records[2], JobRecord::Ended { number: 1, result } if result.index == 0));
    assert_eq!(records.len(), 3);
    assert_eq!(journal.body(UPLOAD, 1).expect("read"), Some(b"b".to_vec()));
    assert_eq!(journal.body(UNACCEPTED_UPLOAD, 0).expect("read"), None);
    let results = journal.results(1, 0, 10, 1_000).expect("read");
    assert_eq!(results[0].body, b"answer".to_vec());
}

#[test]
fn results_are_paged_in_order() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let journal = Journal::open(folder.path()).expect("open");
    let records: Vec<JobRecord> = (0..300).rev().map(ended).collect();
    journal.write(&records).expect("write");
    let page = journal.results(1, 100, 50, usize::MAX).expect("read");
    let indexes: Vec<u32> = page.iter().map(|result| result.index).collect();
    assert_eq!(indexes, (100..150).collect::<Vec<u32>>());
}

#[test]
fn replies_come_after_their_records_and_in_order() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let journal = Journal::open(folder.path()).expect("open");
    let (writer, _thread) =
        JournalWriter::start(journal, |error| panic!("{error}")).expect("start");
    let (replies, received) = std::sync::mpsc::channel();
    for index in 0..100 {
        let replies = replies.clone();
        let on_durable = move |journal: &Journal| {
            let stored = journal.results(1, index, 1, usize::MAX).expect("read");
            let _ = replies.send((index, stored.first().map(|result| result.index)));
        };
        writer
            .submit(JournalTask { records: vec![ended(index)], on_durable: Box::new(on_durable) });
    }
    drop(replies);
    let received_results: Vec<(u32, Option<u32>)> = received.iter().take(100).collect();
    let expected: Vec<(u32, Option<u32>)> = (0..100).map(|index| (index, Some(index))).collect();
    assert_eq!(received_results, expected);
}
