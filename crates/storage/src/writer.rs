//! The thread that writes the journal: one sync for all that waits.

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

use yokefall_core::jobs::JobRecord;

use crate::error::StorageError;
use crate::journal::Journal;

/// Most tasks behind one sync.
const MOST_TASKS_PER_SYNC: usize = 4096;

/// Records to write, and what to do once they, and all records before them, are on disk.
pub struct JournalTask {
    /// Records; may be empty, to wait for those before.
    pub records: Vec<JobRecord>,
    /// Called on the writer's thread once they are durable.
    pub on_durable: Box<dyn FnOnce(&Journal) + Send>,
}

/// Hands tasks to the writer's thread.
#[derive(Clone)]
pub struct JournalWriter {
    tasks: Sender<JournalTask>,
}

impl JournalWriter {
    /// Starts the thread. A failed write ends it, and `failed` is called: what was answered is on
    /// disk, and nothing more is answered.
    pub fn start(
        journal: Journal,
        failed: impl FnOnce(StorageError) + Send + 'static,
    ) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (tasks, queue) = channel();
        let thread = std::thread::Builder::new().name("journal".to_owned()).spawn(move || {
            if let Err(error) = run(&journal, &queue) {
                failed(error);
            }
        })?;
        Ok((Self { tasks }, thread))
    }

    /// Queues a task. After a failed write it is dropped, and with it its reply.
    pub fn submit(&self, task: JournalTask) {
        let _ = self.tasks.send(task);
    }
}

fn run(journal: &Journal, queue: &Receiver<JournalTask>) -> Result<(), StorageError> {
    while let Ok(first) = queue.recv() {
        let mut tasks = vec![first];
        while tasks.len() < MOST_TASKS_PER_SYNC {
            let Ok(task) = queue.try_recv() else { break };
            tasks.push(task);
        }
        let mut records = Vec::new();
        for task in &mut tasks {
            records.append(&mut task.records);
        }
        if !records.is_empty() {
            journal.write(&records)?;
        }
        for task in tasks {
            (task.on_durable)(journal);
        }
    }
    Ok(())
}
