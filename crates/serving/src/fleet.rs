//! The system's own processes as seen by one process, and the event loop that keeps this view
//! current by probes and state digests in datagrams (`yokefall_core::membership`), at deadlines.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use yokefall_clock::ElapsedClock;
use yokefall_core::membership::{
    Datagram, DatagramKind, MemberRecord, MemberState, Membership as MemberList, ObjectDigest,
    Outgoing,
};
use yokefall_core::Timestamp;

use crate::direct_messages::{DirectMessage, DirectMessages, Envelope};
use crate::known_processes::{KnownProcesses, ProcessHistory};
use crate::lateness::Lateness;
use crate::message_channel::{MessageChannel, MessagePort};
use crate::peer_sync::{PeerSync, StateDigest};
use crate::stall_detector::StallDetector;
use crate::watch_role::{Ranking, HEARTBEAT_INTERVAL_MS};

/// Numbers of members of the own zone and of others notified at once of a change of the local
/// state. Each does the same, so that 300 members are reached after four or five rounds.
const SAME_ZONE_FANOUT: usize = 3;
const OTHER_ZONE_FANOUT: usize = 1;
/// Number of members of the own zone and of others that are notified when the store has confirmed
/// the local state. They pass the age on with probes; starting with more members saves one round.
pub const CONFIRMATION_FANOUT: (usize, usize) = (6, 2);
/// Minimum interval between two rebuilds of the fleet view, in milliseconds. Listing 1,000 members
/// takes 0.2 ms of CPU time, and after a simultaneous start of all processes every datagram brings
/// a change. The first change after a quiet period is published at once.
const MIN_VIEW_INTERVAL_MS: u64 = 50;
/// Interval of pruning the history of unreachable members, kept for minutes, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 10_000;
/// The same interval, in milliseconds, while members count as unresponsive, which takes seconds.
const UNRESPONSIVE_PRUNE_INTERVAL_MS: u64 = 1_000;
const MAX_DATAGRAM_BYTES: usize = 16_384;

/// One process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Zone of the process.
    pub zone: String,
    /// Whether it is a job store; all others are gateways.
    pub job_store: bool,
    /// Whether it accepts new work.
    pub accepting: bool,
}

impl FleetMember {
    /// IP address, the same for all of its ports.
    pub fn ip(&self) -> IpAddr {
        self.address.ip()
    }
}

/// The live processes, including this one, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The members.
    pub members: Vec<FleetMember>,
    /// Names of all processes seen recently, including unreachable ones.
    pub names: Arc<KnownProcesses>,
}

impl Fleet {
    /// Gateways that accept new work.
    pub fn gateways(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|member| !member.job_store && member.accepting)
    }

    /// Job stores.
    pub fn job_stores(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|member| member.job_store)
    }
}

/// The current view, shared between the threads of a process.
pub type FleetCell = Arc<ArcSwap<Fleet>>;

/// Creates a cell without members.
pub fn empty_fleet() -> FleetCell {
    Arc::new(ArcSwap::from_pointee(Fleet::default()))
}

/// Identity of this process as announced to others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Zone of the process.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether it is a job store.
    pub job_store: bool,
    /// Incarnation; raised if other members know a higher one.
    pub incarnation: u64,
}

/// Returns the incarnation of a new start, which is higher than that of earlier starts. If the
/// system clock was set back, it is raised as soon as other members report a higher one.
pub fn new_incarnation() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |elapsed| elapsed.as_millis() as u64)
}

/// Parameters of the membership loop.
pub struct Membership {
    /// Socket for datagrams.
    pub socket: UdpSocket,
    /// Identity of this process.
    pub identity: Identity,
    /// Peer addresses of some processes; updated when the settings are reloaded.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The view to update.
    pub cell: FleetCell,
    /// State synchronization with peers.
    pub peer_sync: Rc<PeerSync>,
    /// TCP port at which peers can fetch the state.
    pub exchange_port: u16,
    /// Becomes true when shutdown begins.
    pub leaving: watch::Receiver<bool>,
    /// Messages broadcast to all members.
    pub notices: Notices,
    /// Messages to and from single members.
    pub direct_messages: DirectMessages,
    /// Clock for probes and for state received from peers.
    pub clock: ElapsedClock,
}

/// Encoded broadcast messages in membership datagrams.
pub type Notices = MessageChannel<Vec<u8>>;

/// The other ends of `Notices`.
pub type NoticePort = MessagePort<Vec<u8>>;

/// Runs the membership loop until the process ends.
pub async fn run_membership(parameters: Membership) {
    let Membership {
        socket,
        identity,
        mut seeds,
        cell,
        peer_sync,
        exchange_port,
        mut leaving,
        clock,
        ..
    } = parameters;
    let MessageChannel { mut outgoing, incoming } = parameters.notices;
    let mut direct = parameters.direct_messages;
    let (name, zone) = (identity.name.clone(), identity.zone.clone());
    let own_address = identity.address;
    let first_seeds = to_strings(&seeds.borrow_and_update());
    let incarnation = identity.incarnation;
    let mut members = MemberList::new(record_of(identity), first_seeds, incarnation);
    members.set_exchange_port(exchange_port);
    let mut history = ProcessHistory::default();
    let mut prune_at = Timestamp(0);
    let mut view_at = Timestamp(0);
    let mut seeds_may_change = true;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut leaving_announced = false;
    let mut announced = StateDigest::default();
    let mut heartbeat_at = Timestamp(0);
    let mut lateness = Lateness::default();
    let mut stall_detector = StallDetector::default();
    loop {
        let now = clock.now();
        stall_detector.record_wakeup(now);
        let has_changed = now >= view_at && members.take_changed();
        if has_changed || now >= prune_at {
            let records = members.records();
            history.update(now, &records);
            let has_seeds = seeds.borrow().iter().any(|seed| *seed != own_address);
            let processes = history.known_processes(now, &name, has_seeds);
            let interval = if processes.unresponsive > 0 {
                UNRESPONSIVE_PRUNE_INTERVAL_MS
            } else {
                PRUNE_INTERVAL_MS
            };
            prune_at = now.plus_millis(interval);
            publish(records, processes, &cell);
        }
        if has_changed {
            view_at = now.plus_millis(MIN_VIEW_INTERVAL_MS);
            let fleet = cell.load();
            peer_sync.rank(now, Ranking::new(&fleet.members, &zone, &name), fleet.members.len());
        }
        peer_sync.tick(now);
        let own = peer_sync.digest();
        set_digests(&mut members, own);
        members.set_state_ages(peer_sync.ages());
        if own.differs_from(announced) {
            // These members notify others in turn once they have fetched the change.
            send(&socket, members.gossip_to_sample(SAME_ZONE_FANOUT, OTHER_ZONE_FANOUT)).await;
            announced = own;
        } else if peer_sync.take_confirmation() {
            let (same_zone, other_zones) = CONFIRMATION_FANOUT;
            send(&socket, members.gossip_to_sample(same_zone, other_zones)).await;
        }
        if now >= heartbeat_at {
            send(&socket, members.announce_watching(&peer_sync.standbys())).await;
            heartbeat_at = now.plus_millis(HEARTBEAT_INTERVAL_MS);
        }
        send(&socket, members.tick(now)).await;
        let mut deadline = members.next_deadline(now).min(peer_sync.next_check(now));
        if peer_sync.watches() {
            deadline = deadline.min(heartbeat_at);
        }
        if members.has_changed() {
            deadline = deadline.min(view_at);
        }
        let wait = deadline.millis_since(now).max(1);
        stall_detector.start_wait(now, wait);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, source)) = received {
                    let now = clock.now();
                    if let Some(envelope) = Envelope::decode(&buffer[..length]) {
                        stall_detector.record_wakeup(now);
                        // Sending fails only where nothing reads such messages.
                        let _ = direct.incoming.send(DirectMessage { peer: source, envelope });
                    } else if let Ok(datagram) = borsh::from_slice::<Datagram>(&buffer[..length]) {
                        stall_detector.record_wakeup(now);
                        let is_in_own_zone = members.is_in_own_zone(&datagram.from);
                        process_state(&peer_sync, now, &datagram, source, is_in_own_zone);
                        // A datagram queued here for an unknown time proves nothing about the age.
                        let round_trip = members.probe_age_ms(now, &datagram);
                        if let Some(delay_ms) = round_trip.or_else(|| stall_detector.delay_ms()) {
                            peer_sync.receive_ages(digest_in(&datagram), datagram.ages, delay_ms);
                        }
                        if let DatagramKind::Notice { content } = &datagram.kind {
                            // Sending fails only while this process is shutting down.
                            let _ = incoming.send(content.clone());
                        }
                        send(&socket, members.receive(now, datagram, &source.to_string())).await;
                    }
                }
            }
            () = tokio::time::sleep(Duration::from_millis(wait)) => {
                let woken = clock.now();
                lateness.record_and_report(woken.millis_since(now.plus_millis(wait)));
                stall_detector.record_wakeup(woken);
                if is_empty(&socket).await {
                    stall_detector.record_drained();
                }
            }
            () = peer_sync.changed() => {}
            Some(notice) = outgoing.recv() => send(&socket, members.notify_all(&notice)).await,
            Some(message) = direct.outgoing.recv() => {
                // A message that cannot be sent counts as lost.
                let _ = socket.send_to(&message.envelope.encode(), message.peer).await;
            }
            changed = seeds.changed(), if seeds_may_change => {
                seeds_may_change = changed.is_ok();
                if seeds_may_change {
                    members.set_seeds(to_strings(&seeds.borrow_and_update()));
                }
            }
            changed = leaving.changed(), if !leaving_announced => {
                if changed.is_ok() && *leaving.borrow() {
                    members.announce(MemberState::Leaving);
                    send(&socket, members.announce_to_all()).await;
                }
                leaving_announced = true;
            }
        }
    }
}

fn record_of(identity: Identity) -> MemberRecord {
    MemberRecord {
        node: identity.name.as_str().into(),
        incarnation: identity.incarnation,
        address: identity.address.to_string(),
        zone: identity.zone,
        region: identity.region,
        data: identity.job_store,
        state: MemberState::Alive,
    }
}

async fn is_empty(socket: &UdpSocket) -> bool {
    tokio::select! {
        biased;
        _ = socket.readable() => false,
        () = std::future::ready(()) => true,
    }
}

/// Processes the parts of a datagram that do not concern membership.
fn process_state(
    peer_sync: &Rc<PeerSync>,
    now: Timestamp,
    datagram: &Datagram,
    source: SocketAddr,
    is_in_own_zone: bool,
) {
    let address = SocketAddr::new(source.ip(), datagram.exchange_port);
    match is_in_own_zone {
        true => peer_sync.receive_digest(now, digest_in(datagram), address),
        false => peer_sync.receive_cross_zone_digest(now, digest_in(datagram), address),
    }
    if datagram.kind == DatagramKind::Watching {
        peer_sync.record_watcher_heartbeat(now, datagram.from.as_str());
    }
}

fn to_strings(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}

fn set_digests(membership: &mut MemberList, own: StateDigest) {
    membership.set_configuration_version(own.version);
    membership.set_backends(ObjectDigest {
        digest: own.backends_digest,
        revision: own.backends_revision,
    });
    membership.set_evacuations(own.evacuations);
}

fn digest_in(datagram: &Datagram) -> StateDigest {
    StateDigest {
        version: datagram.configuration_version,
        backends_digest: datagram.backends.digest,
        backends_revision: datagram.backends.revision,
        evacuations: datagram.evacuations,
    }
}

async fn send(socket: &UdpSocket, outgoing: Vec<Outgoing>) {
    for Outgoing { to, datagram } in outgoing {
        let (Ok(address), Ok(bytes)) = (to.parse::<SocketAddr>(), borsh::to_vec(&datagram)) else {
            continue;
        };
        // A datagram that cannot be sent counts as lost; probes are retried.
        let _ = socket.send_to(&bytes, address).await;
    }
}

fn publish(records: Vec<(MemberRecord, u64)>, processes: KnownProcesses, cell: &FleetCell) {
    let member = |(record, _): (MemberRecord, u64)| {
        Some(FleetMember {
            name: record.node.to_string(),
            address: record.address.parse().ok()?,
            zone: record.zone,
            job_store: record.data,
            // A member that fails probes may be paused or partitioned; clients should avoid it.
            accepting: record.state == MemberState::Alive,
        })
    };
    let alive = |(record, _): &(MemberRecord, u64)| record.state != MemberState::Dead;
    let members = records.into_iter().filter(alive).filter_map(member).collect();
    let fleet = Fleet { members, names: Arc::new(processes) };
    if fleet != **cell.load() {
        cell.store(Arc::new(fleet));
    }
}
