//! Jobs, their items and results: the replicated state machine. Every replica applies the same
//! commands in the same order and holds the same state.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_quota::{Assignment, SlotId};
use yokefall_serving::{ItemState, JobItem, PositionedResult, Requester, ResultPage, TenantName};

use crate::packed::PackedText;
use crate::protocol::Submission;

/// Most bytes of results in one page.
pub const PAGE_BYTES: usize = 256 * 1024;

/// Bytes of a result beside its text.
const RECORD_BYTES: usize = 96;

/// A change of the state. Invariant: variants are only ever added at the end, and none changes its
/// form, so that a log that an earlier version wrote can be read.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Command {
    /// Takes a job of nobody; earlier versions, which knew no tenants, wrote it.
    Submit {
        /// Id of the job.
        job: String,
        /// The job.
        submission: Submission,
    },
    /// Records the end of an item; the first end of an item counts, and gets the next position.
    Finish {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// How it ended.
        state: ItemState,
        /// The run that gave the text.
        run: Run,
        /// The last event kept before; the command is void where another one is.
        after_event: u64,
        /// Data of the events after it; none where there are no further events.
        text: Option<String>,
    },
    /// Keeps the output of an item so far, so that its run goes on elsewhere.
    Keep {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
        /// The run that gave the text.
        run: Run,
        /// The last event kept before; the command is void where another one is.
        after_event: u64,
        /// The last event in the text.
        last_event: u64,
        /// Data of the events after the ones kept before.
        text: String,
    },
    /// Counts a run that failed by the item's own fault.
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
    /// Forgets a job that is over.
    Forget {
        /// Id of the job.
        job: String,
    },
    /// Several commands that nobody waits for, in one entry.
    Several(Vec<Command>),
    /// Takes a job of a tenant.
    SubmitFor {
        /// Id of the job.
        job: String,
        /// Tenant that it belongs to.
        tenant: Option<TenantName>,
        /// The job.
        submission: Submission,
    },
    /// Makes job stores the accountants of slots of tenants' limits.
    AssignSlots(Vec<SlotAssignment>),
}

/// A command of the log that this program cannot read: a later version wrote it. Whoever passed it over would hold
/// another state than the others from then on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableCommand {
    /// Its variant; `None` for a command without any bytes.
    pub variant: Option<u8>,
    /// What was wrong with it.
    pub cause: String,
}

impl fmt::Display for UnreadableCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variant = self.variant.map_or("none".to_owned(), |variant| variant.to_string());
        write!(
            formatter,
            "a command of variant {variant} that this program cannot read: {}",
            self.cause
        )
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

/// A slot and the name of its next accountant.
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
    /// Drawn for each run.
    pub number: u64,
    /// The event after which the run was asked to continue; 0 for a run from the beginning.
    pub asked_after: u64,
}

/// Output of an item that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Partial {
    /// The last event in the text; 0 for none.
    pub last_event: u64,
    /// Data of the events so far.
    pub text: String,
    /// Number of the run that gave the last of them.
    pub run: u64,
}

impl Partial {
    /// Whether text of a run after an event may be joined to this one. Invariant: a text is joined
    /// of runs only where the next one was asked to continue. A run that was asked for another event
    /// may come to the same one by itself, when what an earlier run gave is kept late.
    fn may_join(&self, run: Run, after_event: u64) -> bool {
        let goes_on = self.run == run.number;
        let was_asked = run.asked_after == after_event;
        self.last_event == after_event && (goes_on || was_asked)
    }
}

/// An item without a result.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OpenItem {
    /// What to run; runs share it.
    pub item: Arc<JobItem>,
    /// Runs that failed by the item's own fault.
    pub failures: u32,
    /// Output so far.
    pub partial: Partial,
}

/// The result of an item at its position.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Its whole output.
    pub text: PackedText,
}

impl HeldResult {
    fn positioned(&self) -> PositionedResult {
        PositionedResult { id: self.id.clone(), state: self.state, text: self.text.unpack() }
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Job {
    /// Host that it was sent to.
    pub host: String,
    /// Attempts of an item that fails by itself.
    pub max_attempts: u32,
    /// Time after which an item may be given up, in milliseconds.
    pub max_queue_ms: u64,
    /// Time after which its results are due, in milliseconds; 0 where the route tells none.
    pub completion_target_ms: u64,
    /// Queue of the route that took it: its host and path prefix.
    pub queue: String,
    /// Number of items.
    pub total: u32,
    /// Items without a result, by index.
    pub open: BTreeMap<u32, OpenItem>,
    /// Results by position. Invariant: only ever added to; a caller that read a position reads the
    /// same there later.
    pub results: Vec<HeldResult>,
    /// Whether its caller ended it.
    pub ended: bool,
    /// Tenant that it belongs to; any of the tenant's keys reads and ends it.
    pub tenant: Option<TenantName>,
}

impl Job {
    /// Whether anything remains to be done for it.
    pub fn is_open(&self) -> bool {
        !self.ended && !self.open.is_empty()
    }

    fn held_bytes(&self) -> usize {
        let open = |open: &OpenItem| open.item.held_bytes() + open.partial.text.len();
        let result = |result: &HeldResult| RECORD_BYTES + result.text.held_bytes();
        let open: usize = self.open.values().map(open).sum();
        open + self.results.iter().map(result).sum::<usize>()
    }
}

/// Text to be joined to what an item gave before.
struct KeptText<'a> {
    run: Run,
    after_event: u64,
    last_event: u64,
    text: &'a str,
}

/// What applying a command changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A job was taken.
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
    /// A job was forgotten.
    Forgotten {
        /// Id of the job.
        job: String,
    },
    /// Nothing that others wait for.
    Nothing,
}

/// The replicated state: all jobs, and the accountants of tenants' limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Jobs {
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) token_issuers: Assignment,
}

impl Jobs {
    /// A job.
    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// Who the accountants of tenants' limits are.
    pub fn token_issuers(&self) -> &Assignment {
        &self.token_issuers
    }

    /// Every job with its id.
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
            Command::Keep { job, item, run, after_event, last_event, text } => {
                let text = KeptText { run, after_event, last_event, text: &text };
                self.keep(&job, item, &text)
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
            Command::Several(commands) => {
                for command in commands {
                    self.apply(command);
                }
                Applied::Nothing
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
            partial: Partial::default(),
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

    /// Invariant: an item gets one result. The first end in the log counts; a second one, of a run
    /// by a former leader, finds no open item. Text is joined only to the text that it follows.
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
        if completed && !open.partial.may_join(run, after_event) {
            return Applied::Nothing;
        }
        let Some(open) = job.open.remove(&item) else { return Applied::Nothing };
        let mut whole = String::new();
        if completed {
            whole = open.partial.text;
            if let Some(text) = text {
                join(&mut whole, after_event, text);
            }
        }
        let text = PackedText::pack(whole);
        job.results.push(HeldResult { id: open.item.id.clone(), state, text });
        Applied::Finished { job: id, item }
    }

    fn keep(&mut self, job: &str, item: u32, kept: &KeptText) -> Applied {
        let joins = |open: &&mut OpenItem| open.partial.may_join(kept.run, kept.after_event);
        if let Some(open) = self.open_item(job, item).filter(joins) {
            join(&mut open.partial.text, kept.after_event, kept.text);
            open.partial.last_event = kept.last_event;
            open.partial.run = kept.run.number;
        }
        Applied::Nothing
    }

    fn end(&mut self, id: String) -> Applied {
        let Some(job) = self.jobs.get_mut(&id) else { return Applied::Nothing };
        job.ended = true;
        job.open.clear();
        Applied::Ended { job: id }
    }

    /// A job that a requester may read and end.
    pub fn of(&self, id: &str, requester: &Requester) -> Option<&Job> {
        self.jobs.get(id).filter(|job| requester.may_access(job.tenant.as_ref()))
    }

    /// Results of a job from a position on; one at least where one exists.
    pub fn page(&self, id: &str, requester: &Requester, from: u64) -> Option<ResultPage> {
        let job = self.of(id, requester)?;
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

    /// About the bytes that the jobs take.
    pub fn held_bytes(&self) -> usize {
        self.jobs.values().map(Job::held_bytes).sum()
    }

    /// Tokens of the items without a result in a queue.
    pub fn queued_tokens(&self, queue: &str) -> u64 {
        let jobs = self.jobs.values().filter(|job| job.queue == queue);
        jobs.flat_map(|job| job.open.values()).map(|open| open.item.tokens).sum()
    }

    /// Body of an item without a result.
    pub fn body(&self, id: &str, requester: &Requester, item: &str) -> Option<&[u8]> {
        let open = self.of(id, requester)?.open.values().find(|open| open.item.id == item)?;
        Some(&open.item.body)
    }
}

/// Adds the data of the events after an event; 0 stands before the first.
fn join(whole: &mut String, after_event: u64, text: &str) {
    if after_event > 0 {
        whole.push('\n');
    }
    whole.push_str(text);
}
