//! The encodings of everything that processes write for each other or keep on disk: processes of
//! two builds run side by side during a rolling upgrade, and a new build reads the disks of the one
//! before. `golden/version-1.txt` has encoded samples of each type, written by the first build of
//! that version. A changed encoding fails here and needs a new version: new encodings stay off
//! until every process of the fleet knows them, and are read and written in their own file
//! (`docs/design/upgrades.md`). With `YOKEFALL_WRITE_GOLDEN=1` the file is written anew.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::Read;

use borsh::{BorshDeserialize, BorshSerialize};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_consensus::{Body, Message, Payload, Snapshot};
use yokefall_core::membership::Datagram;
use yokefall_jobstore::protocol::{Frame, Reply, Request};
use yokefall_jobstore::state::{Command, Jobs};
use yokefall_serving::state_exchange::{StateRequest, StateResponse};
use yokefall_suspects::SuspectReport;

const GOLDEN: &str = include_str!("golden/version-1.txt");
const PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/version-1.txt");
/// Samples kept of a type, or of each of its variants.
const SAMPLES: usize = 2;
/// Draws of a sample after which a variant counts as missing.
const DRAWS: u64 = 400;
/// More variants than any type has.
const MOST_VARIANTS: u8 = 40;

/// Yields small numbers and letters, so that the value decoded from it is short for any type.
struct SampleReader {
    generator: SmallRng,
    /// The first byte, which is the variant of an enum.
    variant: Option<u8>,
}

impl Read for SampleReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if let (Some(variant), [first, ..]) = (self.variant.take(), &mut *buffer) {
            *first = variant;
            return Ok(1);
        }
        let length = buffer.len();
        match length {
            1 => buffer[0] = self.generator.random_range(0..3),
            // A number, or the length of what follows.
            2 | 4 | 8 | 16 => {
                buffer.fill(0);
                buffer[0] = self.generator.random_range(0..3);
            }
            _ => buffer.fill_with(|| self.generator.random_range(b'a'..=b'z')),
        }
        Ok(length)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn samples<T: BorshSerialize + BorshDeserialize>(has_variants: bool) -> BTreeSet<String> {
    let variants = if has_variants { 0..MOST_VARIANTS } else { 0..1 };
    variants
        .flat_map(|variant| {
            let draw = move |seed: u64| {
                let generator =
                    SmallRng::seed_from_u64(seed * u64::from(MOST_VARIANTS) + u64::from(variant));
                let variant = has_variants.then_some(variant);
                let value = T::deserialize_reader(&mut SampleReader { generator, variant }).ok()?;
                Some(hex(&borsh::to_vec(&value).expect("a sample")))
            };
            let mut found: Vec<String> = (0..DRAWS).filter_map(draw).collect();
            // The longest samples cover the most.
            found.sort_by_key(|sample| std::cmp::Reverse(sample.len()));
            found.dedup();
            found.truncate(SAMPLES);
            found
        })
        .collect()
}

/// Decodes a sample and encodes it again.
fn again<T: BorshSerialize + BorshDeserialize>(sample: &[u8]) -> std::io::Result<Vec<u8>> {
    borsh::to_vec(&T::try_from_slice(sample)?)
}

struct Form {
    name: &'static str,
    samples: BTreeSet<String>,
    again: fn(&[u8]) -> std::io::Result<Vec<u8>>,
}

fn form<T: BorshSerialize + BorshDeserialize>(name: &'static str, has_variants: bool) -> Form {
    Form { name, samples: samples::<T>(has_variants), again: again::<T> }
}

fn forms() -> Vec<Form> {
    vec![
        form::<Datagram>("membership-datagram", false),
        form::<yokefall_core::membership::DatagramKind>("membership-datagram-kind", true),
        form::<StateRequest>("news-request", false),
        form::<StateResponse>("news-answer", false),
        form::<SuspectReport>("suspect-report", false),
        form::<Frame>("job-store-frame", true),
        form::<Request>("job-store-request", true),
        form::<Reply>("job-store-reply", true),
        form::<Command>("log-command", true),
        form::<Jobs>("job-state", false),
        form::<Message>("consensus-message", false),
        form::<Body>("consensus-body", true),
        form::<Payload>("consensus-payload", true),
        form::<Snapshot>("consensus-snapshot", false),
    ]
}

fn written() -> String {
    let mut text = String::new();
    for form in forms() {
        for sample in &form.samples {
            let _ = writeln!(text, "{} {sample}", form.name);
        }
    }
    text
}

#[test]
fn what_is_written_has_the_form_of_its_version() {
    let written = written();
    if std::env::var_os("YOKEFALL_WRITE_GOLDEN").is_some() {
        std::fs::write(PATH, &written).expect("the file is written");
        return;
    }
    for (line, (golden, present)) in GOLDEN.lines().zip(written.lines()).enumerate() {
        assert_eq!(present, golden, "line {} has another form", line + 1);
    }
    assert_eq!(written.lines().count(), GOLDEN.lines().count(), "a form has come or gone");
}

#[test]
fn what_the_version_wrote_is_read_as_it_was_meant() {
    let forms = forms();
    for line in GOLDEN.lines() {
        let (name, sample) = line.split_once(' ').expect("a name and a sample");
        let form = forms.iter().find(|form| form.name == name).expect("a known form");
        let sample = bytes(sample);
        let read = (form.again)(&sample).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(hex(&read), hex(&sample), "{name}");
    }
}

/// A longer or truncated encoding and an unknown variant must give errors, not panics or values.
#[test]
fn what_is_not_of_this_version_is_refused() {
    for form in forms() {
        for sample in &form.samples {
            let sample = bytes(sample);
            let longer = [sample.as_slice(), &[0]].concat();
            assert!((form.again)(&longer).is_err(), "{}: a byte more", form.name);
            if let Some(shorter) = sample.split_last().map(|(_, rest)| rest) {
                assert!((form.again)(shorter).is_err(), "{}: a byte less", form.name);
            }
        }
    }
    for name in [
        "membership-datagram-kind",
        "job-store-frame",
        "job-store-request",
        "job-store-reply",
        "log-command",
    ] {
        let forms = forms();
        let form = forms.iter().find(|form| form.name == name).expect("a known form");
        assert!((form.again)(&[MOST_VARIANTS]).is_err(), "{name}: a variant of a later version");
    }
}
