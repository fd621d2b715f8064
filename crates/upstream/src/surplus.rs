//! Bytes that a connection delivers after a response.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;

const MESSAGE_START: &[u8] = b"HTTP/";

/// What a connection received after its last response; known once the connection has ended, which it
/// does when such bytes arrive.
#[derive(Clone, Debug, Default)]
pub(crate) struct Surplus(Rc<OnceCell<Bytes>>);

impl Surplus {
    pub(crate) fn set(&self, bytes: Bytes) {
        // A connection ends once.
        let _ = self.0.set(bytes);
    }

    /// Whether bytes followed that begin no other response, so that the last one seems to go on.
    pub(crate) fn continues_response(&self) -> bool {
        let Some(bytes) = self.0.get() else { return false };
        let compared = bytes.len().min(MESSAGE_START.len());
        bytes[..compared] != MESSAGE_START[..compared]
    }
}
