//! Records of origins over several processes whose messages are lost or delayed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use quickcheck::quickcheck;
use yokefall_core::Timestamp;
use yokefall_serving::{FleetMember, SoftwareVersion};
use yokefall_streams::holders::{preferred, RECORD_COPIES};
use yokefall_streams::table::{MAX_RECORDS, RECORD_LIFETIME_MS};
use yokefall_streams::{
    OriginExchange, OriginMessage, OriginTable, Outgoing, QueryOutcome, StreamKey, StreamOrigin,
};

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 1))
}

fn key(number: usize) -> StreamKey {
    StreamKey::of_attempt(&format!("attempt-{number}"))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::new("models", &SoftwareVersion::of_record(Some(version))).expect("a version")
}

/// Processes by address; messages arrive at once unless they are lost.
#[derive(Default)]
struct Network {
    processes: BTreeMap<SocketAddr, OriginExchange>,
}

impl Network {
    fn with(count: u8) -> Self {
        let processes = (1..=count).map(|number| (address(number), OriginExchange::default()));
        Self { processes: processes.collect() }
    }

    fn at(&mut self, number: u8) -> &mut OriginExchange {
        self.processes.get_mut(&address(number)).expect("a process")
    }

    /// Delivers messages and their answers, except those that `is_lost`.
    fn deliver(
        &mut self,
        now: Timestamp,
        from: u8,
        sent: Vec<Outgoing>,
        mut is_lost: impl FnMut(&Outgoing) -> bool,
    ) {
        let mut queue: Vec<(SocketAddr, Outgoing)> =
            sent.into_iter().map(|outgoing| (address(from), outgoing)).collect();
        while let Some((from, outgoing)) = queue.pop() {
            if is_lost(&outgoing) {
                continue;
            }
            let Some(process) = self.processes.get_mut(&outgoing.to) else { continue };
            let answers = process.receive(now, from, outgoing.message);
            queue.extend(answers.into_iter().map(|answer| (outgoing.to, answer)));
        }
    }
}

#[test]
fn a_record_is_found_at_any_process_that_holds_it() {
    let mut network = Network::with(4);
    let now = Timestamp(10);
    let sent = network.at(1).record(now, key(1), origin("v1"), vec![address(2), address(3)]);
    network.deliver(now, 1, sent, |_| false);
    network.processes.remove(&address(1));
    network.processes.remove(&address(2));
    let asked = vec![address(1), address(2), address(3)];
    let sent = network.at(4).query(now, key(1), asked);
    network.deliver(now, 4, sent, |_| false);
    let found = (key(1), QueryOutcome::Found(origin("v1")));
    assert_eq!(network.at(4).take_outcomes(), vec![found]);
}

#[test]
fn a_lost_record_is_sent_again_until_it_is_acknowledged() {
    let mut network = Network::with(2);
    let sent = network.at(1).record(Timestamp(0), key(1), origin("v1"), vec![address(2)]);
    network.deliver(Timestamp(0), 1, sent, |_| true);
    let deadline = network.at(1).next_deadline().expect("a resend");
    let sent = network.at(1).tick(deadline);
    assert_eq!(sent.len(), 1);
    network.deliver(deadline, 1, sent, |_| false);
    assert_eq!(network.at(1).next_deadline(), None, "acknowledged");
    assert_eq!(network.at(2).held_records(), 1);
}

/// A process of an older build never answers; resends to it end.
#[test]
fn resends_end_without_an_acknowledgement() {
    let mut exchange = OriginExchange::default();
    let mut sent = exchange.record(Timestamp(0), key(1), origin("v1"), vec![address(2)]).len();
    while let Some(deadline) = exchange.next_deadline() {
        sent += exchange.tick(deadline).len();
        assert!(sent < 10);
    }
    assert_eq!(sent, 4);
}

#[test]
fn a_query_tells_what_is_not_recorded_from_what_is_not_answered() {
    let mut network = Network::with(3);
    let sent = network.at(1).query(Timestamp(0), key(1), vec![address(2), address(3)]);
    network.deliver(Timestamp(0), 1, sent, |_| false);
    assert_eq!(network.at(1).take_outcomes(), vec![(key(1), QueryOutcome::NotRecorded)]);

    let sent = network.at(1).query(Timestamp(0), key(2), vec![address(2), address(3)]);
    network.deliver(Timestamp(0), 1, sent, |outgoing| outgoing.to == address(3));
    assert_eq!(network.at(1).take_outcomes(), vec![]);
    while let Some(deadline) = network.at(1).next_deadline() {
        network.at(1).tick(deadline);
    }
    assert_eq!(network.at(1).take_outcomes(), vec![(key(2), QueryOutcome::Unanswered)]);

    let nobody = network.at(1).query(Timestamp(0), key(3), Vec::new());
    assert!(nobody.is_empty());
    assert_eq!(network.at(1).take_outcomes(), vec![(key(3), QueryOutcome::Unanswered)]);
}

/// Two attempts that used one id by mistake: neither version is known to be right.
#[test]
fn contradicting_records_count_as_none() {
    let mut table = OriginTable::default();
    table.insert(Timestamp(0), key(1), origin("v1"));
    assert_eq!(table.get(Timestamp(1), &key(1)), Some(&origin("v1")));
    table.insert(Timestamp(1), key(1), origin("v2"));
    assert_eq!(table.get(Timestamp(2), &key(1)), None);
    table.insert(Timestamp(2), key(1), origin("v1"));
    assert_eq!(table.get(Timestamp(3), &key(1)), None);
}

#[test]
fn a_service_has_one_version_until_another_is_recorded_and_after_it_expired() {
    let mut table = OriginTable::default();
    table.insert(Timestamp(0), key(1), origin("v1"));
    assert!(!table.has_other_version(Timestamp(1), &origin("v1")));
    assert!(table.has_other_version(Timestamp(1), &origin("v2")));
    table.insert(Timestamp(2), key(2), origin("v2"));
    assert!(table.has_other_version(Timestamp(3), &origin("v1")));
    let first_expired = Timestamp(RECORD_LIFETIME_MS + 1);
    assert!(!table.has_other_version(first_expired, &origin("v2")));
}

#[test]
fn records_are_bounded_in_time_and_number() {
    let mut table = OriginTable::default();
    for number in 0..MAX_RECORDS + 10 {
        table.insert(Timestamp(0), key(number), origin("v1"));
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert_eq!(table.get(Timestamp(1), &key(0)), None, "the oldest is dropped");
    assert!(table.get(Timestamp(1), &key(MAX_RECORDS)).is_some());
    let end = Timestamp(RECORD_LIFETIME_MS);
    assert_eq!(table.get(end, &key(MAX_RECORDS)), None);
    table.insert(end, key(0), origin("v1"));
    assert_eq!(table.len(), 1);
}

fn member(name: u8, zone: u8) -> FleetMember {
    FleetMember {
        name: format!("edge-{name}"),
        address: address(name),
        zone: format!("hall-{zone}"),
        job_store: false,
        accepting: true,
    }
}

quickcheck! {
    /// Both copies are lost with one zone only if there is no other zone, and all processes select
    /// the same holders in whatever order they know the members.
    fn copies_are_in_two_zones(stream: usize, zones: Vec<u8>) -> bool {
        let members: Vec<FleetMember> =
            zones.iter().take(30).enumerate().map(|(name, zone)| member(name as u8, zone % 3)).collect();
        let chosen = preferred(&key(stream), members.iter());
        let reversed = preferred(&key(stream), members.iter().rev());
        let all_zones: BTreeSet<&str> = members.iter().map(|member| member.zone.as_str()).collect();
        let copies: BTreeSet<&str> =
            chosen.iter().take(RECORD_COPIES).map(|member| member.zone.as_str()).collect();
        chosen == reversed
            && chosen.len() == members.len()
            && copies.len() == all_zones.len().min(RECORD_COPIES)
    }

    /// Whatever is lost, a query never finds another version than the one recorded.
    fn a_found_version_is_the_recorded_one(losses: Vec<bool>, streams: Vec<bool>) -> bool {
        let mut network = Network::with(4);
        let mut lost = losses.into_iter().cycle();
        let mut is_lost = |_: &Outgoing| lost.next().unwrap_or(false);
        let mut recorded: HashMap<StreamKey, StreamOrigin> = HashMap::new();
        for (number, first) in streams.iter().take(20).enumerate() {
            let origin = origin(if *first { "v1" } else { "v2" });
            recorded.insert(key(number), origin.clone());
            let now = Timestamp(number as u64);
            let sent = network.at(1).record(now, key(number), origin, vec![address(2), address(3)]);
            network.deliver(now, 1, sent, &mut is_lost);
        }
        let now = Timestamp(1_000);
        for number in 0..streams.len().min(20) {
            let sent = network.at(4).query(now, key(number), vec![address(2), address(3)]);
            network.deliver(now, 4, sent, &mut is_lost);
        }
        network.at(4).take_outcomes().into_iter().all(|(key, outcome)| match outcome {
            QueryOutcome::Found(origin) => recorded.get(&key) == Some(&origin),
            QueryOutcome::NotRecorded | QueryOutcome::Unanswered => true,
        })
    }
}

/// Both builds that run while machines are upgraded must read these forms.
#[test]
fn messages_keep_their_encoded_form() {
    let key = StreamKey::of_attempt("a");
    let key_hex: String = key.as_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
    let origin_hex = "060000006d6f64656c73010200000076".to_owned() + "31";
    let samples = [
        (OriginMessage::Record { key, origin: origin("v1") }, format!("00{key_hex}{origin_hex}")),
        (OriginMessage::Recorded { key }, format!("01{key_hex}")),
        (OriginMessage::Query { key }, format!("02{key_hex}")),
        (OriginMessage::Reply { key, origin: None }, format!("03{key_hex}00")),
        (
            OriginMessage::Reply { key, origin: Some(origin("v1")) },
            format!("03{key_hex}01{origin_hex}"),
        ),
    ];
    for (message, expected) in samples {
        let encoded = borsh::to_vec(&message).expect("encoded");
        let hex: String = encoded.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, expected);
        assert_eq!(borsh::from_slice::<OriginMessage>(&encoded).expect("decoded"), message);
    }
    assert_eq!(key_hex, "1f4e961eb632c6e63468f15a70af6fa9");
}
