//! Time of the digest by which a gateway recognizes a repeated request.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;

use serde::Serialize;
use yokefall_suspects::{RequestDigest, RequestIdentity};

/// Body lengths, in bytes.
const LENGTHS: [usize; 5] = [0, 256, 2_048, 16_384, 65_536];

/// Measurement for one body length.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DigestRow {
    /// Length of the body, in bytes.
    pub bytes: usize,
    /// Time of one digest, in microseconds.
    pub microseconds: f64,
}

/// Computes `count` digests for each body length.
pub fn run(count: u32) -> Vec<DigestRow> {
    LENGTHS.into_iter().map(|bytes| row(bytes, count)).collect()
}

fn row(bytes: usize, count: u32) -> DigestRow {
    let body = vec![b'x'; bytes];
    let identity = RequestIdentity {
        method: "POST",
        host: "maps.example",
        path: "/generate/route",
        tenant: "guides",
        body: &body,
    };
    let started = Instant::now();
    for _ in 0..count {
        black_box(RequestDigest::of(black_box(&identity)));
    }
    let microseconds = started.elapsed().as_secs_f64() * 1e6 / f64::from(count.max(1));
    DigestRow { bytes, microseconds }
}

/// The rows as a human-readable table.
pub fn table(rows: &[DigestRow]) -> String {
    let mut text = "bytes of the body  microseconds a digest\n".to_owned();
    for DigestRow { bytes, microseconds } in rows {
        let _ = writeln!(text, "{bytes:>17}  {microseconds:>21.2}");
    }
    text
}
