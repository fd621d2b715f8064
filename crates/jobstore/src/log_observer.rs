//! Writes what happens to the group and its jobs as log lines and metrics.

use yokefall_consensus::{ChangeEvent, Index, MemberId, Role, Term, TransferEvent};
use yokefall_telemetry::{version, EventName, LogLine};

use crate::state::{Applied, UnreadableCommand};
use crate::store::StoreObserver;

/// Observer that writes log lines and metrics.
pub struct LogObserver;

/// Exit code if the log holds an unreadable command; the same as for a failed data folder.
const EXIT_UNREADABLE_LOG: i32 = 4;

impl StoreObserver for LogObserver {
    fn unreadable(&self, index: Index, error: &UnreadableCommand) {
        LogLine::new(EventName::LogUnreadable)
            .field("position", index)
            .text("cause", error)
            .text("build", version::build())
            .field("formats", version::FORMAT_VERSION)
            .write();
        // The process may exit before the logging thread has written the line above.
        eprintln!("yokefall: log position {index}: {error}");
        // Synced data stays; a build that knows the command can continue from here.
        std::process::exit(EXIT_UNREADABLE_LOG);
    }

    fn role(&self, role: Role, term: Term, leader: Option<&MemberId>) {
        let leads = if role == Role::Leader { 1.0 } else { 0.0 };
        metrics::gauge!("job_store_leads").set(leads);
        LogLine::new(EventName::RoleChanged)
            .text("role_now", format_args!("{role:?}"))
            .field("term", term)
            .field("leader", leader.map(MemberId::to_string))
            .write();
    }

    fn change(&self, event: &ChangeEvent) {
        let (decision, members) = match event {
            ChangeEvent::Proposed(members) => ("change members", members),
            ChangeEvent::Unconfirmed(members) => ("too few new voters respond", members),
            ChangeEvent::Withdrawn(members) => ("withdraw a change that cannot commit", members),
        };
        let line = LogLine::new(EventName::GroupDecision).id(format_args!("{members:?}"));
        line.field("decision", decision).write();
    }

    fn transfer(&self, event: &TransferEvent) {
        let line = LogLine::new(EventName::GroupDecision);
        let (outcome, line) = match event {
            TransferEvent::Started { target, silent_ms } => {
                let line = line.id(target).field("decision", "transfer leadership");
                ("started", line.field("silent_ms", *silent_ms))
            }
            TransferEvent::Succeeded { target, elapsed_ms } => {
                let line = line.id(target).field("decision", "leadership transferred");
                ("succeeded", line.field("elapsed_ms", *elapsed_ms))
            }
            TransferEvent::Failed { target, elapsed_ms } => {
                let line = line.id(target).field("decision", "leadership transfer failed");
                ("failed", line.field("elapsed_ms", *elapsed_ms))
            }
            TransferEvent::NoCandidate { candidates } => {
                let line = line.field("decision", "no candidate for leadership responds");
                ("no-candidate", line.field("candidates", *candidates))
            }
        };
        line.write();
        metrics::counter!("leadership_transfers_total", "outcome" => outcome).increment(1);
    }

    fn members(&self, voters: usize, learners: usize, index: Index) {
        LogLine::new(EventName::MembersChanged)
            .field("voters", voters)
            .field("learners", learners)
            .field("position", index)
            .write();
    }

    fn compacted(&self, state: usize, log: usize, jobs: usize) {
        LogLine::new(EventName::LogCompacted)
            .field("state_bytes", state)
            .field("log_bytes", log)
            .field("job_bytes", jobs)
            .write();
    }

    fn state_sent(&self, member: &MemberId, bytes: usize) {
        LogLine::new(EventName::StateSent).id(member).field("bytes", bytes).write();
    }

    fn state_installed(&self, index: Index, bytes: usize) {
        LogLine::new(EventName::StateTaken).field("position", index).field("bytes", bytes).write();
    }

    fn applied(&self, index: Index, applied: &Applied) {
        metrics::gauge!("job_store_log_position").set(index as f64);
        let (id, event) = match applied {
            Applied::Accepted { job } => (job, EventName::JobTaken),
            Applied::Ended { job } => (job, EventName::JobEnded),
            Applied::Forgotten { job } => (job, EventName::JobForgotten),
            Applied::Finished { .. } | Applied::Several(_) | Applied::Nothing => return,
        };
        LogLine::new(event).id(id).field("position", index).write();
    }
}
