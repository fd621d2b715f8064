//! Peer requests to the job store.

use tokio::sync::oneshot;
use yokefall_core::jobs::{Acceptance, LeaseGrant};
use yokefall_peer::{LeasedItem, PeerReply, PeerRequest};
use yokefall_storage::{Journal, JournalTask};
use yokefall_types::limits::{MAX_PAGE_BYTES, MAX_RESULT_PAGE};
use yokefall_types::{JobId, Refusal, RefusalReason, ServiceId};

use crate::control::JobCommand;
use crate::shared::{Shared, Store};

pub async fn answer(shared: &Shared, request: PeerRequest) -> PeerReply {
    let Some(store) = &shared.store else {
        let detail = format!("{} has no data folder", shared.node);
        return PeerReply::Refused(Refusal::not_run(RefusalReason::NotFound, detail));
    };
    match request {
        PeerRequest::OpenJob(header) => open(shared, store, header),
        PeerRequest::AppendItems { upload, bodies } => {
            match store.uploads.append(&store.journal, upload, &bodies) {
                Ok(()) => PeerReply::Done,
                Err(refusal) => PeerReply::Refused(refusal),
            }
        }
        PeerRequest::CommitJob { upload } => commit(shared, store, upload).await,
        PeerRequest::GetJob(job) => {
            let progress = ask_jobs(shared, |reply| JobCommand::Progress { job, reply }).await;
            found(progress, PeerReply::Job)
        }
        PeerRequest::CancelJob(job) => {
            let progress = ask_jobs(shared, |reply| JobCommand::Cancel { job, reply }).await;
            found(progress, PeerReply::Job)
        }
        PeerRequest::ListResults { job, from_index } => {
            list_results(shared, store, job, from_index).await
        }
        PeerRequest::LeaseItems { service, max_items, .. } => {
            lease(shared, store, service, max_items).await
        }
        PeerRequest::StartItems(items) => {
            let granted = ask_jobs(shared, |reply| JobCommand::Start { items, reply }).await;
            granted.map_or_else(journal_failed, PeerReply::Granted)
        }
        PeerRequest::ExtendLeases(items) => {
            let granted = ask_jobs(shared, |reply| JobCommand::Extend { items, reply }).await;
            granted.map_or_else(journal_failed, PeerReply::Granted)
        }
        PeerRequest::ReturnItems(items) => {
            let done = ask_jobs(shared, |reply| JobCommand::ReturnItems { items, reply }).await;
            done.map_or_else(journal_failed, |()| PeerReply::Done)
        }
        PeerRequest::CompleteItems(items) => {
            let done = ask_jobs(shared, |reply| JobCommand::Complete { items, reply }).await;
            done.map_or_else(journal_failed, |()| PeerReply::Done)
        }
        _ => PeerReply::Refused(Refusal::not_run(
            RefusalReason::InvalidArgument,
            "not a request to the job store",
        )),
    }
}

async fn ask_jobs<T>(
    shared: &Shared,
    command: impl FnOnce(oneshot::Sender<T>) -> JobCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    shared.jobs.get()?.tell(command(reply)).await.ok()?;
    answer.await.ok()
}

fn journal_failed() -> PeerReply {
    let detail = "the data folder failed, the outcome is not known";
    PeerReply::Refused(Refusal::unknown(RefusalReason::Unreachable, detail))
}

fn found<T>(answer: Option<Option<T>>, reply: impl FnOnce(T) -> PeerReply) -> PeerReply {
    match answer {
        Some(Some(value)) => reply(value),
        Some(None) => unknown_job(),
        None => journal_failed(),
    }
}

fn unknown_job() -> PeerReply {
    let detail = "job_key: no such job of this partner and tenant";
    PeerReply::Refused(Refusal::not_run(RefusalReason::NotFound, detail))
}

fn open(shared: &Shared, store: &Store, header: yokefall_peer::JobHeader) -> PeerReply {
    for (upload, items) in store.uploads.expire() {
        let _ = store.journal.discard_bodies(upload, items);
    }
    let service = ServiceId { partner: header.job.partner.clone(), name: header.service.clone() };
    let view = shared.view.load();
    let Some(declared) = view.services.get(&service) else {
        let detail = format!("service: {service} is not declared");
        return PeerReply::Refused(Refusal::not_run(RefusalReason::UnknownService, detail));
    };
    if header.max_tokens > declared.spec.max_tokens {
        let detail = format!(
            "max_tokens: {}, {service} gives {}",
            header.max_tokens, declared.spec.max_tokens
        );
        return PeerReply::Refused(Refusal::not_run(RefusalReason::InvalidArgument, detail));
    }
    PeerReply::UploadOpened(store.uploads.open(header))
}

async fn commit(shared: &Shared, store: &Store, upload: u64) -> PeerReply {
    let finished = match store.uploads.finish(upload) {
        Ok(finished) => finished,
        Err(refusal) => return PeerReply::Refused(refusal),
    };
    let (digest, items) = (finished.digest, finished.items);
    let header = finished.header;
    let command = |reply| JobCommand::Accept { header, digest, items, upload, reply };
    match ask_jobs(shared, command).await {
        Some(Acceptance::New { accepted }) => PeerReply::JobAccepted { accepted, joined: false },
        Some(Acceptance::Joined { accepted }) => {
            let _ = store.journal.discard_bodies(upload, items);
            PeerReply::JobAccepted { accepted, joined: true }
        }
        Some(Acceptance::Conflict) => {
            let _ = store.journal.discard_bodies(upload, items);
            let detail = "job_key: used before with other content";
            PeerReply::Refused(Refusal::not_run(RefusalReason::Conflict, detail))
        }
        None => journal_failed(),
    }
}

async fn lease(shared: &Shared, store: &Store, service: ServiceId, max_items: u32) -> PeerReply {
    let command = |reply| JobCommand::Lease { service: service.clone(), max_items, reply };
    let Some(grants) = ask_jobs(shared, command).await else { return journal_failed() };
    // If a body cannot be read, the lease expires and the item is leased again.
    let items = grants.into_iter().filter_map(|grant| leased(store, &service, grant)).collect();
    PeerReply::Leased(items)
}

fn leased(store: &Store, service: &ServiceId, grant: LeaseGrant) -> Option<LeasedItem> {
    let body = store.journal.body(grant.upload, grant.item.index).ok()??;
    Some(LeasedItem {
        item: grant.item,
        service: service.clone(),
        repeat: grant.header.repeat,
        max_tokens: grant.header.max_tokens,
        deadline_ms: grant.deadline_ms,
        lease_ms: yokefall_core::jobs::LEASE_MS,
        body,
    })
}

async fn list_results(shared: &Shared, store: &Store, job: JobId, from_index: u32) -> PeerReply {
    let (number, items) = match ask_jobs(shared, |reply| JobCommand::Find { job, reply }).await {
        Some(Some(found)) => found,
        Some(None) => return unknown_job(),
        None => return journal_failed(),
    };
    // Reads in the queue of the writer, so that only durable results are returned.
    let (reply, page) = oneshot::channel();
    let read = move |journal: &Journal| {
        let max_items = MAX_RESULT_PAGE as usize;
        let _ = reply.send(journal.results(number, from_index, max_items, MAX_PAGE_BYTES));
    };
    store.writer.submit(JournalTask { records: Vec::new(), on_durable: Box::new(read) });
    match page.await {
        Ok(Ok(results)) => {
            let bytes: usize = results.iter().map(|result| result.body.len()).sum();
            let last_page = results.len() < MAX_RESULT_PAGE as usize && bytes < MAX_PAGE_BYTES;
            PeerReply::Results { results, items, last_page }
        }
        _ => journal_failed(),
    }
}
