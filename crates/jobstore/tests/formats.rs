//! Data of earlier versions can be read. The bytes are from the version before tenants (fd322a9).

use yokefall_jobstore::snapshot::{decode_state, encode_state};
use yokefall_jobstore::state::{Command, Jobs, SlotAssignment};
use yokefall_quota::{Part, SlotId};
use yokefall_serving::{ItemState, Requester, TenantName};

const SUBMIT: &str = "\
    00050000006a6f622d31010000006802000000e803000000000000f40100000000000002000000682f015a00\
    000000000000020000000100000061060000002f72756e2f6101000000010000005801000000790100000061\
    07000000000000000100000062060000002f72756e2f62010000000100000058010000007901000000620700\
    000000000000";
const FINISH: &str = "\
    01050000006a6f622d3101000000000100000000000000000000000000000000000000000000000107000000\
    6f6e650a74776f";
const STATE: &str = "\
    01000000050000006a6f622d31010000006802000000e803000000000000f40100000000000002000000682f\
    0200000001000000000000000100000061060000002f72756e2f610100000001000000580100000079010000\
    0061070000000000000000000000000000000000000000000000000000000000000001000000010000006200\
    00070000006f6e650a74776f00";

fn bytes(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digit).collect()
}

fn command(hex: &str) -> Command {
    borsh::from_slice(&bytes(hex)).expect("a command")
}

/// One job with the items `a` and `b`, of which `b` has a result.
fn check(jobs: &Jobs) {
    let job = jobs.get("job-1").expect("the job");
    assert_eq!((job.total, job.tenant.as_ref()), (2, None));
    let page = jobs.page("job-1", &Requester::Unchecked, 0).expect("a page");
    assert_eq!(page.results.len(), 1);
    assert_eq!(page.results[0].id, "b");
    assert_eq!(page.results[0].state, ItemState::Completed);
    assert_eq!(page.results[0].text, "one\ntwo");
    assert_eq!(jobs.body("job-1", &Requester::Unchecked, "a"), Some(b"a".as_slice()));
}

#[test]
fn commands_of_version_1_are_applied() {
    let mut jobs = Jobs::default();
    jobs.apply(command(SUBMIT));
    jobs.apply(command(FINISH));
    check(&jobs);
}

#[test]
fn a_snapshot_of_version_1_is_read() {
    let jobs = decode_state(&bytes(STATE)).expect("a state");
    check(&jobs);
    assert_eq!(decode_state(&encode_state(&jobs)).expect("a state"), jobs);
}

#[test]
fn a_snapshot_preserves_owners_and_token_issuers() {
    let mut jobs = Jobs::default();
    let Command::Submit { job, submission } = command(SUBMIT) else { panic!("another command") };
    let tenant = Some(TenantName::new("huka270"));
    jobs.apply(Command::SubmitFor { job, tenant: tenant.clone(), submission });
    let slot = SlotId { shard: 3, part: Part(1) };
    let change = SlotAssignment { slot, token_issuer: "storage-1".into() };
    jobs.apply(Command::AssignSlots(vec![change]));
    let read = decode_state(&encode_state(&jobs)).expect("a state");
    assert_eq!(read, jobs);
    assert_eq!(read.get("job-1").expect("the job").tenant, tenant);
    assert!(read.token_issuers().is_holder(slot, "storage-1"));
}

#[test]
fn a_later_version_or_a_truncated_state_is_an_error() {
    let state = encode_state(&Jobs::default());
    let mut later = state.to_vec();
    later[4] = 9;
    let error = decode_state(&later).expect_err("an unknown version");
    assert!(error.to_string().contains("version 9"), "{error}");
    for length in 1..state.len() {
        assert!(decode_state(&state[..length]).is_err(), "cut after {length} bytes");
    }
    let old = bytes(STATE);
    for length in 1..old.len() {
        assert!(decode_state(&old[..length]).is_err(), "cut after {length} bytes");
    }
}

#[test]
fn a_job_is_hidden_from_other_tenants() {
    let mut jobs = Jobs::default();
    let Command::Submit { job, submission } = command(SUBMIT) else { panic!("another command") };
    let tenant = Some(TenantName::new("mine"));
    jobs.apply(Command::SubmitFor { job, tenant, submission });
    let mine = Requester::Tenant(TenantName::new("mine"));
    let other = Requester::Tenant(TenantName::new("other"));
    assert!(jobs.page("job-1", &mine, 0).is_some());
    assert!(jobs.page("job-1", &other, 0).is_none());
    assert!(jobs.body("job-1", &mine, "a").is_some());
    assert!(jobs.body("job-1", &other, "a").is_none());
    assert!(jobs.body("job-1", &Requester::Anonymous, "a").is_none());
}
