//! The replicated state machine: jobs, their items and results. All replicas apply the same
//! commands in the same order and hold the same state.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_quota::{Assignment, SlotId};
use yokefall_serving::{ItemState, JobItem, PositionedResult, Requester, ResultPage, TenantName};

use crate::packed::PackedText;
use crate::protocol::Submission;

/// Maximum bytes of results in one page.
pub const PAGE_BYTES: usize = 256 * 1024;

/// Memory of a result in addition to its text.
const RECORD_BYTES: usize = 96;

/// A change of the state. Invariant: variants are only appended and never changed, so that logs of
/// earlier versions can be read.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Submits a job without a tenant; written by versions without tenants.
    Submit {
        /// Id of the job.
        job: String,
        /// The job.
        submission: Submission,
    },
    /// Records the end of an item. Only the first end counts; it is assigned the next position.
    Finish {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// How it ended.
        state: ItemState,
        /// The run that produced the text.
        run: Run,
        /// The last event stored before; the command has no effect if it differs.
        after_event: u64,
        /// Data of the events after it; `None` if there are none. Of an abandoned item the reason,
        /// which is kept but not proposed yet: replicas of the build before drop it.
        text: Option<String>,
    },
    /// Appends to the stored output of an item. Only leaders of older builds propose this: output in
    /// the log cannot be taken back where no back end of its software version is left.
    AppendOutput {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// The run that produced the text.
        run: Run,
        /// The last event stored before; the command has no effect if it differs.
        after_event: u64,
        /// The last event in the text.
        last_event: u64,
        /// Data of the events after `after_event`.
        text: String,
    },
    /// Counts a run that failed because of the item itself.
    CountFailure {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
    },
    /// Removes a finished job.
    Forget {
        /// Id of the job.
        job: String,
    },
    /// Several commands in one entry; nobody waits for their outcome.
    Batch(Vec<Command>),
    /// Submits a job of a tenant.
    SubmitFor {
        /// Id of the job.
        job: String,
        /// Tenant that it belongs to.
        tenant: Option<TenantName>,
        /// The job.
        submission: Submission,
    },
    /// Assigns slots of tenants' limits to token issuers.
    AssignSlots(Vec<SlotAssignment>),
}

/// A command in the log that this build cannot read, written by a later version. Skipping it would
/// make the state differ from that of other replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableCommand {
    /// Its variant; `None` for an empty command.
    pub variant: Option<u8>,
    /// Why it could not be decoded.
    pub cause: String,
}

impl fmt::Display for UnreadableCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variant = self.variant.map_or("none".to_owned(), |variant| variant.to_string());
        write!(formatter, "unreadable command of variant {variant}: {}", self.cause)
    }
}

impl std::error::Error for UnreadableCommand {}

impl Command {
    /// Decodes a command of the log.
    pub fn decode(bytes: &[u8]) -> Result<Self, UnreadableCommand> {
        borsh::from_slice(bytes).map_err(|error| UnreadableCommand {
            variant: bytes.first().copied(),
            cause: error.to_string(),
        })
    }
}

/// A slot and the name of its next token issuer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SlotAssignment {
    /// The slot.
    pub slot: SlotId,
    /// Name of the job store.
    pub token_issuer: String,
}

/// A run of an item at a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Run {
    /// Random number of the run.
    pub number: u64,
    /// The event after which the run was asked to resume; 0 for a run from the beginning.
    pub resume_after: u64,
}

/// Output of an item that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PartialOutput {
    /// The last event in the text; 0 if there is none.
    pub last_event: u64,
    /// Data of the events so far.
    pub text: String,
    /// Number of the run that produced the last event.
    pub run: u64,
}

impl PartialOutput {
    /// Whether output of a run after an event may be appended. Invariant: output of different runs
    /// is only joined where the later run was asked to resume. A run asked to resume elsewhere may
    /// reach the same event if an earlier run's output is committed late.
    fn accepts(&self, run: Run, after_event: u64) -> bool {
        let is_same_run = self.run == run.number;
        let resumes_here = run.resume_after == after_event;
        self.last_event == after_event && (is_same_run || resumes_here)
    }
}

/// An item without a result.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OpenItem {
    /// The item; shared with its runs.
    pub item: Arc<JobItem>,
    /// Runs that failed because of the item itself.
    pub failures: u32,
    /// Output so far.
    pub partial: PartialOutput,
}

/// The result of an item at its position.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoredResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Its complete output.
    pub text: PackedText,
}

impl StoredResult {
    fn positioned(&self) -> PositionedResult {
        PositionedResult { id: self.id.clone(), state: self.state, text: self.text.unpack() }
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Job {
    /// Host that it was sent to.
    pub host: String,
    /// Number of failed attempts after which an item is abandoned.
    pub max_attempts: u32,
    /// Time in milliseconds after which a waiting item may be abandoned.
    pub max_queue_ms: u64,
    /// Time in milliseconds after which the results are due; 0 if the route has no target.
    pub completion_target_ms: u64,
    /// Queue in which its items wait: the tenant, and the host and path prefix of the route.
    pub queue: String,
    /// Number of items.
    pub total: u32,
    /// Items without a result, by index.
    pub open: BTreeMap<u32, OpenItem>,
    /// Results by position; only appended, so that a position always yields the same result.
    pub results: Vec<StoredResult>,
    /// Whether its client ended it.
    pub ended: bool,
    /// Tenant that it belongs to; all keys of the tenant may read and end it.
    pub tenant: Option<TenantName>,
}

impl Job {
    /// Whether it has unfinished items and was not ended.
    pub fn is_open(&self) -> bool {
        !self.ended && !self.open.is_empty()
    }

    fn held_bytes(&self) -> usize {
        let open = |open: &OpenItem| open.item.held_bytes() + open.partial.text.len();
        let result = |result: &StoredResult| RECORD_BYTES + result.text.held_bytes();
        let open: usize = self.open.values().map(open).sum();
        open + self.results.iter().map(result).sum::<usize>()
    }
}

struct OutputChunk<'a> {
    run: Run,
    after_event: u64,
    last_event: u64,
    text: &'a str,
}

/// The effect of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A job was accepted.
    Accepted {
        /// Id of the job.
        job: String,
    },
    /// An item got its result.
    Finished {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// A job was ended.
    Ended {
        /// Id of the job.
        job: String,
    },
    /// A job was removed.
    Forgotten {
        /// Id of the job.
        job: String,
    },
    /// The effects of several commands in one entry.
    Several(Vec<Applied>),
    /// No effect that anyone waits for.
    Nothing,
}

/// The replicated state: all jobs, and the token issuers of tenants' limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Jobs {
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) token_issuers: Assignment,
}

impl Jobs {
    /// A job by its id.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// The assignment of token issuers.
    pub fn token_issuers(&self) -> &Assignment {
        &self.token_issuers
    }

    /// All jobs with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::Submit { job, submission } => self.submit(job, None, submission),
            Command::SubmitFor { job, tenant, submission } => self.submit(job, tenant, submission),
            Command::Finish { job, item, state, run, after_event, text } => {
                self.finish(job, item, state, run, after_event, text.as_deref())
            }
            Command::AppendOutput { job, item, run, after_event, last_event, text } => {
                let text = OutputChunk { run, after_event, last_event, text: &text };
                self.append_output(&job, item, &text)
            }
            Command::CountFailure { job, item } => {
                if let Some(open) = self.open_item(&job, item) {
                    open.failures += 1;
                }
                Applied::Nothing
            }
            Command::End { job } => self.end(job),
            Command::Forget { job } => {
                self.jobs.remove(&job);
                Applied::Forgotten { job }
            }
            Command::AssignSlots(slots) => {
                let changes = slots.into_iter().map(|change| (change.slot, change.token_issuer));
                self.token_issuers.assign(changes.collect());
                Applied::Nothing
            }
            Command::Batch(commands) => {
                let each = commands.into_iter().map(|command| self.apply(command));
                Applied::Several(each.collect())
            }
        }
    }

    fn submit(
        &mut self,
        id: String,
        tenant: Option<TenantName>,
        submission: Submission,
    ) -> Applied {
        if self.jobs.contains_key(&id) {
            return Applied::Accepted { job: id };
        }
        let open_item = |item: JobItem| OpenItem {
            item: Arc::new(item),
            failures: 0,
            partial: PartialOutput::default(),
        };
        let open: BTreeMap<u32, OpenItem> =
            (0..).zip(submission.items.into_iter().map(open_item)).collect();
        let job = Job {
            host: submission.host,
            max_attempts: submission.max_attempts,
            max_queue_ms: submission.max_queue_ms,
            completion_target_ms: submission.completion_target_ms,
            queue: submission.queue,
            total: open.len() as u32,
            open,
            results: Vec::new(),
            ended: false,
            tenant,
        };
        self.jobs.insert(id.clone(), job);
        Applied::Accepted { job: id }
    }

    fn open_item(&mut self, job: &str, item: u32) -> Option<&mut OpenItem> {
        self.jobs.get_mut(job)?.open.get_mut(&item)
    }

    /// Invariant: an item gets exactly one result. The first end in the log counts; for a second
    /// one, from a run of a former leader, the item is no longer open. Text is only appended to the
    /// output that it continues.
    fn finish(
        &mut self,
        id: String,
        item: u32,
        state: ItemState,
        run: Run,
        after_event: u64,
        text: Option<&str>,
    ) -> Applied {
        let Some(job) = self.jobs.get_mut(&id) else { return Applied::Nothing };
        let Some(open) = job.open.get(&item) else { return Applied::Nothing };
        let completed = state == ItemState::Completed;
        if completed && !open.partial.accepts(run, after_event) {
            return Applied::Nothing;
        }
        let Some(open) = job.open.remove(&item) else { return Applied::Nothing };
        let text = match (completed, text) {
            (true, Some(text)) => {
                let mut output = open.partial.text;
                append_events(&mut output, after_event, text);
                output
            }
            (true, None) => open.partial.text,
            (false, reason) => reason.unwrap_or_default().to_owned(),
        };
        let text = PackedText::pack(text);
        job.results.push(StoredResult { id: open.item.id.clone(), state, text });
        Applied::Finished { job: id, item }
    }

    fn append_output(&mut self, job: &str, item: u32, chunk: &OutputChunk) -> Applied {
        let accepts_chunk =
            |open: &&mut OpenItem| open.partial.accepts(chunk.run, chunk.after_event);
        if let Some(open) = self.open_item(job, item).filter(accepts_chunk) {
            append_events(&mut open.partial.text, chunk.after_event, chunk.text);
            open.partial.last_event = chunk.last_event;
            open.partial.run = chunk.run.number;
        }
        Applied::Nothing
    }

    fn end(&mut self, id: String) -> Applied {
        let Some(job) = self.jobs.get_mut(&id) else { return Applied::Nothing };
        job.ended = true;
        job.open.clear();
        Applied::Ended { job: id }
    }

    /// A job that the requester may read and end.
    pub fn get_for(&self, id: &str, requester: &Requester) -> Option<&Job> {
        self.jobs.get(id).filter(|job| requester.may_access(job.tenant.as_ref()))
    }

    /// Results of a job from a position on; at least one if any exists.
    pub fn page(&self, id: &str, requester: &Requester, from: u64) -> Option<ResultPage> {
        let job = self.get_for(id, requester)?;
        let mut page = ResultPage { total: u64::from(job.total), results: Vec::new(), next: from };
        let mut bytes = 0;
        for result in job.results.iter().skip(from as usize) {
            bytes += result.text.text_bytes();
            if bytes > PAGE_BYTES && !page.results.is_empty() {
                break;
            }
            page.results.push(result.positioned());
            page.next += 1;
        }
        Some(page)
    }

    /// Approximate memory used by the jobs.
    pub fn held_bytes(&self) -> usize {
        self.jobs.values().map(Job::held_bytes).sum()
    }

    /// Tokens of the items without a result in a queue.
    pub fn queued_tokens(&self, queue: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.queue == queue);
        let open = jobs.flat_map(|job| job.open.values());
        open.map(|open| open.item.tokens).fold(0, u64::saturating_add)
    }

    /// Body of an item without a result.
    pub fn body(&self, id: &str, requester: &Requester, item: &str) -> Option<&[u8]> {
        let open = self.get_for(id, requester)?.open.values().find(|open| open.item.id == item)?;
        Some(&open.item.body)
    }
}

/// Appends the data of the events after `after_event`; 0 means from the beginning.
fn append_events(output: &mut String, after_event: u64, text: &str) {
    if after_event > 0 {
        output.push('\n');
    }
    output.push_str(text);
}
