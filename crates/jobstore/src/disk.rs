//! The disk thread. Writing on its own thread keeps a slow disk from blocking answers to peers.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use yokefall_consensus::Write;
use yokefall_telemetry::{EventName, LogLine};

use crate::wal::{Rewrite, Wal};

const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// A command to the disk thread; commands are executed in order.
#[derive(Debug)]
pub enum DiskCommand {
    /// Appends records to the log.
    Append(Vec<Write>),
    /// Replaces the whole log.
    Replace(Box<Rewrite>),
}

/// Handle to the disk thread.
#[derive(Debug)]
pub struct Disk {
    commands: Sender<DiskCommand>,
}

/// Receives the number of commands synced since the previous message.
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

    /// Enqueues a command.
    pub fn enqueue(&self, command: DiskCommand) {
        // The thread lives as long as the process.
        let _ = self.commands.send(command);
    }
}

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

/// Retries until it succeeds. A failing disk may recover; until then nothing is acknowledged.
fn retry_until_done<E: std::fmt::Display>(
    step: &'static str,
    mut action: impl FnMut() -> Result<(), E>,
) {
    let mut is_logged = false;
    while let Err(error) = action() {
        if !is_logged {
            LogLine::new(EventName::DiskFailed).field("step", step).text("cause", &error).write();
            is_logged = true;
        }
        std::thread::sleep(RETRY_BACKOFF);
    }
}
