//! Length-prefixed borsh frames over TCP.

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{PeerReply, PeerRequest};
use yokefall_types::limits::MAX_PEER_FRAME_BYTES;
use yokefall_types::NodeName;

/// Version of the internal protocol. A connection between different versions is rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Content of one frame.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// Opens the handshake; the first frame sent by the client.
    Hello {
        version: u32,
        node: NodeName,
        secret: String,
    },
    /// Reply to `Hello`.
    Welcome {
        /// Empty if the connection is accepted, otherwise the reason for its rejection.
        refusal: String,
    },
    /// A request, identified by its call number on this connection.
    Request {
        /// Call number, assigned by the client.
        call: u64,
        request: PeerRequest,
    },
    Reply {
        call: u64,
        reply: PeerReply,
    },
}

pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connected socket in the length-prefixed framing.
pub fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_PEER_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Bytes, std::io::Error> {
    borsh::to_vec(frame).map(Bytes::from)
}

/// Decodes a frame. Trailing bytes are an error.
pub fn decode(bytes: &[u8]) -> Result<Frame, std::io::Error> {
    Frame::try_from_slice(bytes)
}
