//! Length-prefixed borsh frames over TCP.

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{PeerReply, PeerRequest};
use yokefall_types::limits::MAX_PEER_FRAME_BYTES;
use yokefall_types::NodeName;

/// Version of the internal protocol. Processes of different versions refuse each other.
pub const PROTOCOL_VERSION: u32 = 1;

/// What one frame holds.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// First frame of the connecting side.
    Hello {
        /// Protocol version of the sender.
        version: u32,
        /// Name of the sender.
        node: NodeName,
        /// Secret shared by the fleet.
        secret: String,
    },
    /// Answer to `Hello`.
    Welcome {
        /// Empty when accepted, else the cause of the refusal.
        refusal: String,
    },
    /// A request with its number on this connection.
    Request {
        /// Number of the call, chosen by the connecting side.
        call: u64,
        /// The request.
        request: PeerRequest,
    },
    /// One reply to a request.
    Reply {
        /// Number of the call.
        call: u64,
        /// The reply.
        reply: PeerReply,
    },
}

pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connected socket.
pub fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_PEER_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Bytes, std::io::Error> {
    borsh::to_vec(frame).map(Bytes::from)
}

/// Decodes a frame; trailing bytes are an error.
pub fn decode(bytes: &[u8]) -> Result<Frame, std::io::Error> {
    Frame::try_from_slice(bytes)
}
