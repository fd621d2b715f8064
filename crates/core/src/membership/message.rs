//! Membership messages.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::NodeName;

/// State of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Alive but shutting down; accepts no new work.
    Leaving,
    /// Did not answer probes; may refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time, or has left.
    Dead,
}

/// The record of a member as exchanged between members.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberRecord {
    /// Name.
    pub node: NodeName,
    /// Incremented with every start and every refutation.
    pub incarnation: u64,
    /// Peer address, `IP:PORT`; TCP and UDP.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether the member has a data directory.
    pub data: bool,
    /// State.
    pub state: MemberState,
}

/// Digest of a member's state of one kind of the platform's objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObjectDigest {
    /// Digest of the objects; 0 if there are none.
    pub digest: u64,
    /// Revision of the platform's store up to which they are known; 0 if nothing has been received.
    pub revision: u64,
}

/// Time since the platform's store last confirmed the state of a member, in milliseconds and by
/// kind; `None` if it never has.
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
    /// Back ends known to the sender.
    pub backends: ObjectDigest,
    /// Evacuated zones known to the sender.
    pub evacuations: ObjectDigest,
    /// Age of the sender's state.
    pub ages: StateAges,
    /// TCP port at which peers can fetch the sender's state; 0 if it does not offer this.
    pub exchange_port: u16,
    /// Digest of the sender's member list.
    pub digest: u64,
    /// Kind of the message, with its content.
    pub kind: DatagramKind,
    /// Piggybacked member updates.
    pub updates: Vec<MemberRecord>,
}

/// Kind of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum DatagramKind {
    /// Requests some records of the member list.
    Join,
    /// A part of the member list.
    Members,
    /// Requests the buckets of the member list that differ.
    Repair {
        /// Digest of each bucket of the sender's list.
        buckets: Vec<u64>,
    },
    /// Requests an acknowledgement.
    Ping {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// The sender watches the platform's store, and the store answers it.
    Watching,
    /// A message broadcast to all members, encoded by the application.
    Notice {
        /// Content of the message.
        content: Vec<u8>,
    },
    /// Requests a probe of a third member.
    PingRequest {
        /// Sequence number of the probe at the sender.
        sequence: u64,
        /// The member to probe.
        target: NodeName,
    },
    /// Carries updates only, between probes; the receiver forwards those that are new to it.
    Gossip,
}

/// An outgoing datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination, `IP:PORT`.
    pub to: String,
    /// Content.
    pub datagram: Datagram,
}
