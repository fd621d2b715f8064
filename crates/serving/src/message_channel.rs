//! Channels between the membership loop and the thread that sends and receives its messages.

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// The membership loop's ends; the other ends may be on another thread.
#[derive(Debug)]
pub struct MessageChannel<T> {
    /// Messages to send.
    pub outgoing: UnboundedReceiver<T>,
    /// Messages that arrived.
    pub incoming: UnboundedSender<T>,
}

/// The other ends of a `MessageChannel`.
#[derive(Debug)]
pub struct MessagePort<T> {
    /// Sends a message.
    pub outgoing: UnboundedSender<T>,
    /// Messages that arrived.
    pub incoming: UnboundedReceiver<T>,
}

impl<T> MessageChannel<T> {
    /// Creates both ends.
    pub fn new() -> (Self, MessagePort<T>) {
        let (to_send, outgoing) = unbounded_channel();
        let (incoming, arrived) = unbounded_channel();
        (Self { outgoing, incoming }, MessagePort { outgoing: to_send, incoming: arrived })
    }
}
