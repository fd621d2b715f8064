//! Messages about origins of streams. Each may be lost or arrive twice.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::origin::{StreamKey, StreamOrigin};

/// A message from one gateway to another.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum OriginMessage {
    /// Asks to keep a record.
    Record {
        /// The stream.
        key: StreamKey,
        /// Where it began.
        origin: StreamOrigin,
    },
    /// Acknowledges a record.
    Recorded {
        /// The stream.
        key: StreamKey,
    },
    /// Asks for a record.
    Query {
        /// The stream.
        key: StreamKey,
    },
    /// Answers a query.
    Reply {
        /// The stream.
        key: StreamKey,
        /// Where it began; `None` without a record.
        origin: Option<StreamOrigin>,
    },
}
