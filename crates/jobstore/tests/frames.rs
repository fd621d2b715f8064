//! Frames that are cut, flipped or made up: an error, and never a panic or a huge allocation.

use quickcheck::{quickcheck, TestResult};
use yokefall_jobstore::protocol::{decode, encode, Frame};
use yokefall_jobstore::{BackendCount, LoadReport, Reply, Request, ServiceRate};
use yokefall_serving::state_exchange::{StateRequest, StateResponse};
use yokefall_serving::BackendIncarnation;

fn sample(text: &str, number: u32) -> Vec<Frame> {
    let incarnation = BackendIncarnation { id: text.to_owned(), started_ms: number.into() };
    let report = LoadReport {
        gateway: text.to_owned(),
        counts: vec![BackendCount { backend: incarnation, requests: number }],
        arrivals: vec![ServiceRate { service: text.to_owned(), per_1000_seconds: number.into() }],
        outcomes: vec![],
        wants_all_totals: number % 2 == 0,
        previous_aggregator: (number % 3 == 0).then(|| text.to_owned()),
    };
    vec![
        Frame::Request { call: 1, request: Request::Load(report) },
        Frame::Reply { call: 2, reply: Reply::NotLeader { leader: Some(text.to_owned()) } },
        Frame::Output { call: 3, last_event: 4, text: text.to_owned() },
        Frame::Impossible { job: text.to_owned(), item: number },
        Frame::GatewayMoved { gateway: text.to_owned() },
        Frame::Heartbeat,
    ]
}

quickcheck! {
    fn any_bytes_decode_or_fail(bytes: Vec<u8>) -> bool {
        let _ = decode(&bytes);
        let _ = borsh::from_slice::<StateResponse>(&bytes);
        let _ = borsh::from_slice::<StateRequest>(&bytes);
        true
    }

    fn a_frame_comes_back_as_it_was_sent(text: String, number: u32) -> bool {
        sample(&text, number).iter().all(|frame| {
            let bytes = encode(frame);
            decode(&bytes).is_ok_and(|decoded| encode(&decoded) == bytes)
        })
    }

    fn a_frame_cut_at_any_byte_is_an_error(text: String, number: u32) -> bool {
        sample(&text, number).iter().all(|frame| {
            let bytes = encode(frame);
            (0..bytes.len()).all(|length| decode(&bytes[..length]).is_err())
        })
    }

    fn a_flipped_frame_decodes_or_fails(text: String, place: usize, flip: u8) -> TestResult {
        if flip == 0 {
            return TestResult::discard();
        }
        for frame in sample(&text, 7) {
            let mut bytes = encode(&frame).to_vec();
            let place = place % bytes.len();
            bytes[place] ^= flip;
            let _ = decode(&bytes);
        }
        TestResult::passed()
    }
}
