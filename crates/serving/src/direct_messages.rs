//! Messages from one process to another on the membership port, each with a mark, the version of
//! its form and its kind.
//!
//! No membership datagram begins with the mark: read as one, it would be the length of a name of
//! four gigabytes. Older builds therefore drop these messages, as they do with any datagram that
//! they cannot read, and the sender must bear that no answer comes.

use std::net::SocketAddr;

use borsh::{BorshDeserialize, BorshSerialize};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::message_channel::MessageChannel;

const MARK: [u8; 4] = [0xff; 4];
/// Version of the envelope. Content that older readers cannot read needs a new kind.
const ENVELOPE_VERSION: u8 = 1;

/// Kind of the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum MessageKind {
    /// Which software version began a stream.
    StreamOrigin,
    /// Where streams may have begun lately. Older builds drop it.
    OriginHistory,
}

/// The encoded content of a message, with its kind.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Kind of the content.
    pub kind: MessageKind,
    /// The encoded content.
    pub content: Vec<u8>,
}

impl Envelope {
    /// Encodes the envelope with the mark.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MARK.to_vec();
        bytes.push(ENVELOPE_VERSION);
        // Writing to a vector cannot fail.
        let _ = self.serialize(&mut bytes);
        bytes
    }

    /// Decodes a datagram; `None` if it is no envelope, or one of a newer build.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let body = datagram.strip_prefix(&MARK)?.strip_prefix(&[ENVELOPE_VERSION])?;
        borsh::from_slice(body).ok()
    }
}

/// A message with the address of the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectMessage {
    /// Receiver of an outgoing message, sender of one that arrived.
    pub peer: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}

/// Passes the messages of one kind to the first receiver, and all others to the second one. Returns
/// when no more arrive.
pub async fn split_by_kind(
    kind: MessageKind,
    mut incoming: UnboundedReceiver<DirectMessage>,
    (of_kind, others): (UnboundedSender<DirectMessage>, UnboundedSender<DirectMessage>),
) {
    while let Some(message) = incoming.recv().await {
        let receiver = if message.envelope.kind == kind { &of_kind } else { &others };
        // A receiver is gone only while this process is shutting down.
        let _ = receiver.send(message);
    }
}

/// Messages to and from single processes. Like any datagram, they may be lost.
pub type DirectMessages = MessageChannel<DirectMessage>;
