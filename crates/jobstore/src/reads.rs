//! What is read from a replica: jobs, their results, and what to wait on for further ones.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_quota::Assignment;
use yokefall_serving::{Catalog, Requester, Residency, ResultPage};

use crate::residency::residency_of_job;
use crate::state::{Job, Jobs};
use crate::store::Store;

/// What a read found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found<T> {
    /// It is there.
    Yes(T),
    /// It is not there, for certain.
    No,
    /// This replica cannot be sure.
    LeaderNotReady,
}

impl Store {
    /// Reads the jobs where this replica may answer reads.
    pub fn read<R>(&self, read: impl FnOnce(&Jobs) -> Option<R>) -> Found<R> {
        if !self.serves() {
            return Found::LeaderNotReady;
        }
        let inner = self.inner.borrow();
        read(&inner.jobs).map_or(Found::No, Found::Yes)
    }

    /// Results of a job from a position on.
    pub fn page(&self, job: &str, requester: &Requester, from: u64) -> Found<ResultPage> {
        self.read(|jobs| jobs.page(job, requester, from))
    }

    /// What to wait on for further results of a job.
    pub fn reader(&self, job: &str) -> Rc<Notify> {
        let mut inner = self.inner.borrow_mut();
        if inner.jobs.get(job).is_none() {
            // Nobody would ever forget it again.
            return Rc::default();
        }
        inner.readers.entry(job.to_owned()).or_default().clone()
    }

    /// Where everything may be kept that is held: the regions that the bodies of all open items allow.
    pub fn residency(&self, catalog: &Catalog) -> Residency {
        let inner = self.inner.borrow();
        let open = inner.jobs.iter().filter(|(_, job)| job.is_open());
        let each = open.map(|(_, job)| {
            let paths = job.open.values().map(|open| open.item.path.as_str());
            residency_of_job(catalog, &job.host, job.tenant.as_ref(), paths)
        });
        each.fold(Residency::Anywhere, |all, one| all.and(&one))
    }

    /// Looks at every job with the time since this replica took it.
    pub fn each_job(&self, mut look: impl FnMut(&String, &Job, Duration)) {
        let inner = self.inner.borrow();
        let now = Instant::now();
        for (id, job) in inner.jobs.iter() {
            let accepted = inner.accepted_at.get(id).copied().unwrap_or(now);
            look(id, job, now.duration_since(accepted));
        }
    }

    /// Looks at every job that is open, with the time since this replica took it.
    pub fn each_open_job(&self, mut look: impl FnMut(&String, &Job, Duration)) {
        self.each_job(|id, job, age| {
            if job.is_open() {
                look(id, job, age);
            }
        });
    }

    /// Whether any job is open.
    pub fn has_open_jobs(&self) -> bool {
        self.inner.borrow().jobs.iter().any(|(_, job)| job.is_open())
    }

    /// Who the accountants of tenants' limits are, as far as this replica has applied.
    pub fn token_issuers(&self) -> Assignment {
        self.inner.borrow().jobs.token_issuers().clone()
    }

    /// Looks at one job.
    pub fn with_job<R>(&self, id: &str, look: impl FnOnce(&Job) -> R) -> Option<R> {
        self.inner.borrow().jobs.get(id).map(look)
    }
}
