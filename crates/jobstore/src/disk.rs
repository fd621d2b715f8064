//! The thread that writes: nothing that waits for the disk holds up the thread that answers peers.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use yokefall_consensus::Write;
use yokefall_telemetry::{EventName, Line};

use crate::wal::{Rewrite, Wal};

/// Pause after a failed write before it is tried again.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// What the disk thread is asked to do, in order.
#[derive(Debug)]
pub enum DiskCommand {
    /// Write these.
    Append(Vec<Write>),
    /// Put this in the place of everything.
    Replace(Box<Rewrite>),
}

/// The control thread's side of the disk thread.
#[derive(Debug)]
pub struct Disk {
    commands: Sender<DiskCommand>,
}

/// Tells how many orders were synced since it last told.
pub type Synced = UnboundedReceiver<usize>;

impl Disk {
    /// Starts the thread.
    pub fn start(wal: Wal) -> std::io::Result<(Self, Synced)> {
        let (commands, received) = channel();
        let (report_synced, synced) = unbounded_channel();
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(move || run(wal, received, report_synced))?;
        Ok((Self { commands }, synced))
    }

    /// Queues an order.
    pub fn enqueue(&self, command: DiskCommand) {
        // The thread ends with the process.
        let _ = self.commands.send(command);
    }
}

/// Writes everything that waits, syncs once, tells.
fn run(mut wal: Wal, commands: Receiver<DiskCommand>, report_synced: UnboundedSender<usize>) {
    while let Ok(first) = commands.recv() {
        let mut count = 0;
        let mut next = Some(first);
        while let Some(command) = next {
            count += 1;
            match command {
                DiskCommand::Append(writes) => writes.iter().for_each(|write| wal.add(write)),
                DiskCommand::Replace(rewrite) => replace(&mut wal, &rewrite),
            }
            next = commands.try_recv().ok();
        }
        retry_until_done("sync", || wal.sync());
        if report_synced.send(count).is_err() {
            return;
        }
    }
}

fn replace(wal: &mut Wal, rewrite: &Rewrite) {
    retry_until_done("sync", || wal.sync());
    retry_until_done("rewrite", || wal.rewrite(rewrite.clone()));
}

/// Repeats a step until it is done: a disk that refuses writes may take them later, and until then
/// nothing is acknowledged.
fn retry_until_done<E: std::fmt::Display>(
    step: &'static str,
    mut action: impl FnMut() -> Result<(), E>,
) {
    let mut report_synced = false;
    while let Err(error) = action() {
        if !report_synced {
            Line::new(EventName::DiskFailed).field("step", step).text("cause", &error).write();
            report_synced = true;
        }
        std::thread::sleep(RETRY_BACKOFF);
    }
}
