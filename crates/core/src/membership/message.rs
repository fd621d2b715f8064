//! What daemons tell each other of the fleet.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::NodeName;

/// State of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Alive, but takes nothing new: it is stopping.
    Leaving,
    /// Did not answer; may refute.
    Suspect,
    /// Did not refute in time, or has left.
    Dead,
}

/// A member as told between daemons.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberRecord {
    /// Name.
    pub node: NodeName,
    /// Grows with every start and every refutation.
    pub incarnation: u64,
    /// Peer address, `IP:PORT`; TCP and UDP.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether it holds a data folder.
    pub data: bool,
    /// State.
    pub state: MemberState,
}

/// What a member knows of the platform's objects, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObjectDigest {
    /// Digest of the objects of a kind; 0 for none.
    pub digest: u64,
    /// Revision of the platform's store up to which they are known; 0 where none was heard of.
    pub revision: u64,
}

/// For how many milliseconds the platform's store has not confirmed what a member knows, by kind; `None` where it
/// never has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateAges {
    /// The configuration.
    pub configuration_ms: Option<u32>,
    /// Back ends.
    pub backends_ms: Option<u32>,
    /// Evacuated zones.
    pub evacuations_ms: Option<u32>,
}

/// A membership datagram.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeName,
    /// Highest configuration version in force at the sender.
    pub configuration_version: u64,
    /// Back ends that the sender knows.
    pub backends: ObjectDigest,
    /// Evacuated zones that the sender knows.
    pub evacuations: ObjectDigest,
    /// Age of what it knows.
    pub ages: StateAges,
    /// TCP port at which the sender tells them to peers; 0 where it does not.
    pub news_port: u16,
    /// Digest of the sender's member list.
    pub digest: u64,
    /// What it says.
    pub kind: DatagramKind,
    /// News.
    pub updates: Vec<MemberRecord>,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum DatagramKind {
    /// Asks for the whole member list.
    Join,
    /// A part of the member list.
    Members,
    /// Asks for the parts of the member list that differ.
    Repair {
        /// Digest of each part of the sender's list.
        buckets: Vec<u64>,
    },
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        sequence: u64,
    },
    /// The sender watches the platform's store, and the store answers it.
    Watching,
    /// Something that all members are to know at once, encoded by whoever tells it.
    Notice {
        /// Its content.
        content: Vec<u8>,
    },
    /// Asks to probe a third member.
    PingRequest {
        /// Number of the probe at the sender.
        sequence: u64,
        /// The member to probe.
        target: NodeName,
    },
    /// News that no probe has room for; whoever learns something from it passes it on.
    News,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination, `IP:PORT`.
    pub to: String,
    /// Content.
    pub datagram: Datagram,
}
