//! A command that a later version wrote into the log.
//!
//! What would happen: a new leader proposes a command of a new kind, it is replicated, and each job store of the old build
//! ends in a panic that names no cause, or, were it passed over, holds another state than the others from then on.

use yokefall_jobstore::state::{Command, UnreadableCommand};

#[test]
fn it_is_named_and_not_passed_over() {
    let end = Command::End { job: "job-1".into() };
    let mut bytes = borsh::to_vec(&end).expect("a command");
    assert_eq!(Command::decode(&bytes), Ok(end));
    bytes[0] = 200;
    let error = Command::decode(&bytes).expect_err("an unknown variant");
    assert_eq!(error.variant, Some(200));
    assert!(error.to_string().contains("variant 200"), "{error}");
    // A known variant with a field more is another form as well.
    bytes[0] = 4;
    bytes.push(1);
    assert!(Command::decode(&bytes).is_err());
    let none: UnreadableCommand = Command::decode(&[]).expect_err("no command");
    assert_eq!(none.variant, None);
}
