//! The thread that writes the journal. Queued tasks share one sync (group commit).

use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

use yokefall_core::jobs::JobRecord;

use crate::error::StorageError;
use crate::journal::Journal;

const MAX_TASKS_PER_SYNC: usize = 4096;

/// Records to write, with a callback that runs once they and all earlier records are on disk.
pub struct JournalTask {
    /// The records; may be empty, to wait only for earlier records.
    pub records: Vec<JobRecord>,
    /// Called on the writer thread once the records are durable.
    pub on_durable: Box<dyn FnOnce(&Journal) + Send>,
}

/// Queues tasks for the writer thread.
#[derive(Clone)]
pub struct JournalWriter {
    tasks: Sender<JournalTask>,
}

impl JournalWriter {
    /// Starts the writer thread. A failed write ends the thread and calls `on_failure`: everything
    /// acknowledged before is on disk, and nothing is acknowledged afterwards.
    pub fn start(
        journal: Journal,
        on_failure: impl FnOnce(StorageError) + Send + 'static,
    ) -> std::io::Result<(Self, JoinHandle<()>)> {
        let (tasks, queue) = channel();
        let thread = std::thread::Builder::new().name("journal".to_owned()).spawn(move || {
            if let Err(error) = write_queued_tasks(&journal, &queue) {
                on_failure(error);
            }
        })?;
        Ok((Self { tasks }, thread))
    }

    /// Queues a task. After a failed write the task is dropped without calling its callback.
    pub fn submit(&self, task: JournalTask) {
        let _ = self.tasks.send(task);
    }
}

fn write_queued_tasks(
    journal: &Journal,
    queue: &Receiver<JournalTask>,
) -> Result<(), StorageError> {
    while let Ok(first) = queue.recv() {
        let mut tasks = vec![first];
        while tasks.len() < MAX_TASKS_PER_SYNC {
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
