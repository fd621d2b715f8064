//! Reads from a replica: jobs, their results, and notification of further results.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_quota::Assignment;
use yokefall_serving::table::RouteTable;
use yokefall_serving::{Catalog, Requester, Residency, ResultPage};

use crate::residency::residency_of_job;
use crate::running::ItemKey;
use crate::state::{Job, Jobs};
use crate::store::Store;

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult<T> {
    /// The value exists.
    Found(T),
    /// The value definitely does not exist.
    NotFound,
    /// This replica may not answer reads at the moment.
    NotReady,
}

impl Store {
    /// Reads the jobs if this replica may answer reads.
    pub fn read<R>(&self, read: impl FnOnce(&Jobs) -> Option<R>) -> ReadResult<R> {
        if !self.serves() {
            return ReadResult::NotReady;
        }
        let inner = self.inner.borrow();
        read(&inner.jobs).map_or(ReadResult::NotFound, ReadResult::Found)
    }

    /// Results of a job from a position on.
    pub fn page(&self, job: &str, requester: &Requester, from: u64) -> ReadResult<ResultPage> {
        self.read(|jobs| jobs.page(job, requester, from))
    }

    /// The `Notify` that is signalled when the job has further results.
    pub fn reader(&self, job: &str) -> Rc<Notify> {
        let mut inner = self.inner.borrow_mut();
        if inner.jobs.get(job).is_none() {
            // An entry for an unknown job would never be removed.
            return Rc::default();
        }
        inner.readers.entry(job.to_owned()).or_default().clone()
    }

    /// Where all current jobs may be stored: the intersection of what their open items allow.
    pub fn residency(&self, catalog: &Catalog) -> Residency {
        let inner = self.inner.borrow();
        let open = inner.jobs.iter().filter(|(_, job)| job.is_open());
        let each = open.map(|(_, job)| {
            let paths = job.open.values().map(|open| open.item.path.as_str());
            residency_of_job(catalog, &job.host, job.tenant.as_ref(), paths)
        });
        each.fold(Residency::Anywhere, |all, one| all.and(&one))
    }

    /// Calls `visit` with each job and the time since this replica applied its submission.
    pub fn for_each_job(&self, mut visit: impl FnMut(&String, &Job, Duration)) {
        let inner = self.inner.borrow();
        let now = Instant::now();
        for (id, job) in inner.jobs.iter() {
            let accepted = inner.accepted_at.get(id).copied().unwrap_or(now);
            visit(id, job, now.duration_since(accepted));
        }
    }

    /// Calls `visit` with each open job and the time since this replica applied its submission.
    pub fn for_each_open_job(&self, mut visit: impl FnMut(&String, &Job, Duration)) {
        self.for_each_job(|id, job, age| {
            if job.is_open() {
                visit(id, job, age);
            }
        });
    }

    /// Takes the jobs that were accepted since the last call while this replica led.
    pub fn take_accepted(&self) -> Vec<String> {
        std::mem::take(&mut self.inner.borrow_mut().newly_accepted)
    }

    /// Open items of a job that belong to no batch route.
    pub fn items_without_route(&self, id: &str, routes: &RouteTable) -> Vec<ItemKey> {
        let inner = self.inner.borrow();
        let job = inner.jobs.get(id).into_iter();
        job.flat_map(|job| without_route(id, job, routes)).collect()
    }

    /// Open items of all jobs that belong to no batch route.
    pub fn all_items_without_route(&self, routes: &RouteTable) -> Vec<ItemKey> {
        let inner = self.inner.borrow();
        inner.jobs.iter().flat_map(|(id, job)| without_route(id, job, routes)).collect()
    }

    /// Whether any job is open.
    pub fn has_open_jobs(&self) -> bool {
        self.inner.borrow().jobs.iter().any(|(_, job)| job.is_open())
    }

    /// The assignment of token issuers, as applied on this replica.
    pub fn token_issuers(&self) -> Assignment {
        self.inner.borrow().jobs.token_issuers().clone()
    }

    /// Calls `visit` with a job, if it exists.
    pub fn with_job<R>(&self, id: &str, visit: impl FnOnce(&Job) -> R) -> Option<R> {
        self.inner.borrow().jobs.get(id).map(visit)
    }
}

fn without_route<'a>(
    id: &'a str,
    job: &'a Job,
    routes: &'a RouteTable,
) -> impl Iterator<Item = ItemKey> + 'a {
    let unrouted =
        job.open.iter().filter(|(_, open)| !routes.has_batch(&job.host, &open.item.path));
    unrouted.map(|(index, _)| (id.to_owned(), *index))
}
