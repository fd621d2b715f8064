//! The system's own processes as one process sees them, and the loop that keeps the view current:
//! probes and news over datagrams (`yokefall_core::membership`), woken by deadlines alone.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use yokefall_clock::ElapsedClock;
use yokefall_core::membership::{
    Datagram, DatagramKind, MemberRecord, MemberState, Membership as MemberList, ObjectDigest,
    Outgoing,
};
use yokefall_core::Timestamp;

use crate::known_processes::{KnownProcesses, ProcessHistory};
use crate::lateness::Lateness;
use crate::peer_sync::{PeerSync, StateDigest};
use crate::stall_detector::StallDetector;
use crate::watch_role::{Ranking, HEARTBEAT_INTERVAL_MS};

/// Members of the own zone, and of others, that are told at once of what this process has learnt. Each
/// tells as many when it knows it: 300 members hear of it after four or five steps.
const NEAR_FANOUT: usize = 3;
const FAR_FANOUT: usize = 1;
/// Members of the own zone, and of others, that are told when the store has confirmed what this process knows. They
/// pass its age on with their probes; begun with more of them, that takes a round less.
pub const CONFIRMATION_FANOUT: (usize, usize) = (6, 2);
/// Least interval between two views of the fleet, in milliseconds: to list 1,000 members for one takes 0.2 ms of a core,
/// and after a start of all each datagram brings a change. The first change after a while is seen at once.
const VIEW_INTERVAL_MS: u64 = 50;
/// Interval at which names of lost members are looked through, in milliseconds: they are kept for minutes.
const NAMES_INTERVAL_MS: u64 = 10_000;
/// The same while some count as lost, which they do for seconds.
const LOST_INTERVAL_MS: u64 = 1_000;
/// Largest datagram read, in bytes.
const DATAGRAM_BYTES: usize = 16_384;

/// One process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Zone in which it stands.
    pub zone: String,
    /// Whether it keeps jobs; the others are gateways.
    pub job_store: bool,
    /// Whether it takes new work.
    pub accepting: bool,
}

impl FleetMember {
    /// Its IP number, the same for all of its ports.
    pub fn ip(&self) -> IpAddr {
        self.address.ip()
    }
}

/// The live processes, this one included, in order of name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The members.
    pub members: Vec<FleetMember>,
    /// Names of all processes that were heard of lately, those too that are lost.
    pub names: Arc<KnownProcesses>,
}

impl Fleet {
    /// Gateways that take new work.
    pub fn gateways(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|member| !member.job_store && member.accepting)
    }

    /// Job stores.
    pub fn job_stores(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter().filter(|member| member.job_store)
    }
}

/// The view in force, shared between the threads of a process.
pub type FleetCell = Arc<ArcSwap<Fleet>>;

/// A cell without members.
pub fn empty_fleet() -> FleetCell {
    Arc::new(ArcSwap::from_pointee(Fleet::default()))
}

/// What this process says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address for other processes.
    pub address: SocketAddr,
    /// Zone in which it stands.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether it keeps jobs.
    pub job_store: bool,
    /// Number of this start; one that is too low is raised when others know a higher one.
    pub incarnation: u64,
}

/// Number of a start: later starts have higher ones. One that is too low, as after a step of the
/// time of day, is raised when others tell a higher one.
pub fn new_incarnation() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |elapsed| elapsed.as_millis() as u64)
}

/// What keeps the view of the fleet current.
pub struct Membership {
    /// Port for datagrams.
    pub socket: UdpSocket,
    /// Who this process is.
    pub identity: Identity,
    /// Peer addresses of some processes; they change when settings are read again.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// The view.
    pub cell: FleetCell,
    /// What is told to peers beside it.
    pub peer_sync: Rc<PeerSync>,
    /// TCP port at which peers may ask for it.
    pub news_port: u16,
    /// Turns true when a stop has begun.
    pub leaving: watch::Receiver<bool>,
    /// What all members are told at once.
    pub notices: Notices,
    /// Time of probes, and of what peers told.
    pub clock: ElapsedClock,
}

/// Encoded notices from and to all other processes, which the membership's datagrams carry. They may come
/// from another thread.
#[derive(Debug)]
pub struct Notices {
    /// To be sent to all.
    pub outgoing: UnboundedReceiver<Vec<u8>>,
    /// Those that arrived.
    pub incoming: UnboundedSender<Vec<u8>>,
}

/// The other ends of `Notices`.
#[derive(Debug)]
pub struct NoticePort {
    /// Sends a notice to all other processes.
    pub outgoing: UnboundedSender<Vec<u8>>,
    /// Notices of other processes.
    pub incoming: UnboundedReceiver<Vec<u8>>,
}

impl Notices {
    /// Both ends.
    pub fn channel() -> (Self, NoticePort) {
        let (to_send, outgoing) = unbounded_channel();
        let (incoming, arrived) = unbounded_channel();
        (Self { outgoing, incoming }, NoticePort { outgoing: to_send, incoming: arrived })
    }
}

/// Keeps the view current until the process ends.
pub async fn run_membership(parts: Membership) {
    let Membership {
        socket,
        identity,
        mut seeds,
        cell,
        peer_sync,
        news_port,
        mut leaving,
        clock,
        ..
    } = parts;
    let Notices { mut outgoing, incoming } = parts.notices;
    let (name, zone) = (identity.name.clone(), identity.zone.clone());
    let own_address = identity.address;
    let first_seeds = texts(&seeds.borrow_and_update());
    let incarnation = identity.incarnation;
    let mut members = MemberList::new(record_of(identity), first_seeds, incarnation);
    members.set_news_port(news_port);
    let mut names = ProcessHistory::default();
    let mut names_at = Timestamp(0);
    let mut view_at = Timestamp(0);
    let mut may_change = true;
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut told_leaving = false;
    let mut told = StateDigest::default();
    let mut heartbeat_at = Timestamp(0);
    let mut lateness = Lateness::default();
    let mut stall_detector = StallDetector::default();
    loop {
        let now = clock.now();
        stall_detector.record_wakeup(now);
        let has_changed = now >= view_at && members.take_changed();
        if has_changed || now >= names_at {
            let records = members.records();
            names.update(now, &records);
            let has_seeds = seeds.borrow().iter().any(|seed| *seed != own_address);
            let known = names.known_processes(now, &name, has_seeds);
            let interval =
                if known.unresponsive > 0 { LOST_INTERVAL_MS } else { NAMES_INTERVAL_MS };
            names_at = now.plus_millis(interval);
            publish(records, known, &cell);
        }
        if has_changed {
            view_at = now.plus_millis(VIEW_INTERVAL_MS);
            let fleet = cell.load();
            peer_sync.rank(now, Ranking::new(&fleet.members, &zone, &name), fleet.members.len());
        }
        peer_sync.tick(now);
        let own = peer_sync.own();
        tell(&mut members, own);
        members.set_state_ages(peer_sync.ages());
        if own.differs_from(told) {
            // Those hear of it at once who tell others when they know it.
            send(&socket, members.gossip_to_some(NEAR_FANOUT, FAR_FANOUT)).await;
            told = own;
        } else if peer_sync.take_confirmation() {
            let (near, far) = CONFIRMATION_FANOUT;
            send(&socket, members.gossip_to_some(near, far)).await;
        }
        if now >= heartbeat_at {
            send(&socket, members.tell_watching(&peer_sync.standbys())).await;
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
                    if let Ok(datagram) = borsh::from_slice::<Datagram>(&buffer[..length]) {
                        stall_detector.record_wakeup(now);
                        let is_near = members.is_near(&datagram.from);
                        hear(&peer_sync, now, &datagram, source, is_near);
                        // What waited here for an unknown time says nothing of the present.
                        let underway = members.probe_age_ms(now, &datagram);
                        if let Some(delay_ms) = underway.or_else(|| stall_detector.delay_ms()) {
                            peer_sync.receive_ages(known(&datagram), datagram.ages, delay_ms);
                        }
                        if let DatagramKind::Notice { content } = &datagram.kind {
                            // Whoever heard notices has ended: so does this process.
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
                    stall_detector.drained();
                }
            }
            () = peer_sync.changed() => {}
            Some(notice) = outgoing.recv() => send(&socket, members.notify_all(&notice)).await,
            changed = seeds.changed(), if may_change => {
                may_change = changed.is_ok();
                if may_change {
                    members.set_seeds(texts(&seeds.borrow_and_update()));
                }
            }
            changed = leaving.changed(), if !told_leaving => {
                if changed.is_ok() && *leaving.borrow() {
                    members.announce(MemberState::Leaving);
                    send(&socket, members.farewell()).await;
                }
                told_leaving = true;
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

/// Whether no datagram waits to be read.
async fn is_empty(socket: &UdpSocket) -> bool {
    tokio::select! {
        biased;
        _ = socket.readable() => false,
        () = std::future::ready(()) => true,
    }
}

/// Takes what a datagram says beside the members.
fn hear(
    peer_sync: &Rc<PeerSync>,
    now: Timestamp,
    datagram: &Datagram,
    source: SocketAddr,
    is_near: bool,
) {
    let address = SocketAddr::new(source.ip(), datagram.news_port);
    match is_near {
        true => peer_sync.hear(now, known(datagram), address),
        false => peer_sync.hear_far(now, known(datagram), address),
    }
    if datagram.kind == DatagramKind::Watching {
        peer_sync.record_watcher_heartbeat(now, datagram.from.as_str());
    }
}

fn texts(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(SocketAddr::to_string).collect()
}

fn tell(membership: &mut MemberList, own: StateDigest) {
    membership.set_configuration_version(own.version);
    membership.set_backends(ObjectDigest {
        digest: own.backends_digest,
        revision: own.backends_revision,
    });
    membership.set_evacuations(own.evacuations);
}

fn known(datagram: &Datagram) -> StateDigest {
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
        // A datagram that cannot be sent is one that was lost; probes are sent again.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Puts the members into the cell where they changed.
fn publish(records: Vec<(MemberRecord, u64)>, names: KnownProcesses, cell: &FleetCell) {
    let member = |(record, _): (MemberRecord, u64)| {
        Some(FleetMember {
            name: record.node.to_string(),
            address: record.address.parse().ok()?,
            zone: record.zone,
            job_store: record.data,
            // One that does not answer probes may be frozen or cut off: clients should not try it.
            accepting: record.state == MemberState::Alive,
        })
    };
    let alive = |(record, _): &(MemberRecord, u64)| record.state != MemberState::Dead;
    let members = records.into_iter().filter(alive).filter_map(member).collect();
    let fleet = Fleet { members, names: Arc::new(names) };
    if fleet != **cell.load() {
        cell.store(Arc::new(fleet));
    }
}
