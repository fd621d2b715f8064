//! The thread that writes: nothing that waits for the disk holds up the thread that answers peers.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use yokefall_consensus::Write;
use yokefall_telemetry::{EventName, LogLine};

use crate::wal::{Rewrite, Wal};

/// Pause after a failed write before it is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the disk thread is asked to do, in order.
#[derive(Debug)]
pub enum DiskOrder {
    /// Write these.
    Append(Vec<Write>),
    /// Put this in the place of everything.
    Replace(Box<Rewrite>),
}

/// The control thread's side of the disk thread.
#[derive(Debug)]
pub struct Disk {
    orders: Sender<DiskOrder>,
}

/// Tells how many orders were synced since it last told.
pub type Synced = UnboundedReceiver<usize>;

impl Disk {
    /// Starts the thread.
    pub fn start(wal: Wal) -> std::io::Result<(Self, Synced)> {
        let (orders, received) = channel();
        let (told, synced) = unbounded_channel();
        std::thread::Builder::new().name("disk".into()).spawn(move || run(wal, received, told))?;
        Ok((Self { orders }, synced))
    }

    /// Queues an order.
    pub fn order(&self, order: DiskOrder) {
        // The thread ends with the process.
        let _ = self.orders.send(order);
    }
}

/// Writes everything that waits, syncs once, tells.
fn run(mut wal: Wal, orders: Receiver<DiskOrder>, told: UnboundedSender<usize>) {
    while let Ok(first) = orders.recv() {
        let mut count = 0;
        let mut next = Some(first);
        while let Some(order) = next {
            count += 1;
            match order {
                DiskOrder::Append(writes) => writes.iter().for_each(|write| wal.add(write)),
                DiskOrder::Replace(rewrite) => replace(&mut wal, &rewrite),
            }
            next = orders.try_recv().ok();
        }
        until_done("sync", || wal.sync());
        if told.send(count).is_err() {
            return;
        }
    }
}

fn replace(wal: &mut Wal, rewrite: &Rewrite) {
    until_done("sync", || wal.sync());
    until_done("rewrite", || wal.rewrite(rewrite.clone()));
}

/// Repeats a step until it is done: a disk that refuses writes may take them later, and until then
/// nothing is acknowledged.
fn until_done<E: std::fmt::Display>(step: &'static str, mut action: impl FnMut() -> Result<(), E>) {
    let mut told = false;
    while let Err(error) = action() {
        if !told {
            LogLine::new(EventName::DiskFailed).field("step", step).text("cause", &error).write();
            told = true;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}
