//! A command that a later version wrote into the log. Guards against job stores of an older build
//! that panic without a cause when a new leader replicates a new kind of command, or that skip it
//! and then hold a different state than others.

use yokefall_jobstore::state::{Command, UnreadableCommand};

#[test]
fn an_unknown_variant_is_an_error_that_names_it() {
    let end = Command::End { job: "job-1".into() };
    let mut bytes = borsh::to_vec(&end).expect("a command");
    assert_eq!(Command::decode(&bytes), Ok(end));
    bytes[0] = 200;
    let error = Command::decode(&bytes).expect_err("an unknown variant");
    assert_eq!(error.variant, Some(200));
    assert!(error.to_string().contains("variant 200"), "{error}");
    // A known variant with an additional field is unreadable as well.
    bytes[0] = 4;
    bytes.push(1);
    assert!(Command::decode(&bytes).is_err());
    let none: UnreadableCommand = Command::decode(&[]).expect_err("no command");
    assert_eq!(none.variant, None);
}
