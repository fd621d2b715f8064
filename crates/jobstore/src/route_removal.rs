//! Abandons waiting items whose route an operator has removed.
//!
//! An abandoned item cannot be taken back, so that the removal must be proven. It is not enough that
//! this replica knows no route: its configuration may be behind, or lack a route that could not be
//! read. Invariant: an item is abandoned only if, for `REMOVAL_GRACE`, each configuration that this
//! leader used had no batch route for it, and then the configuration in the platform's store has
//! none either.

use std::rc::Rc;
use std::time::Duration;

use yokefall_serving::{ConfigurationReader, CurrentConfiguration};
use yokefall_telemetry::{EventName, LogLine};

use crate::abandon::abandonment;
use crate::runner::Runner;
use crate::running::ItemKey;
use crate::state::Command;

/// Timeout for reading the configuration.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time until the next attempt after the removal of a route could not be proven. It doubles with
/// each attempt, as a malformed route may stay for long and each attempt is a call to the store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Maximum number of items in one command of the log.
const MAX_ITEMS_PER_COMMAND: usize = 500;

/// Why items without a route are not abandoned yet.
enum Unproven {
    /// The configuration could not be read.
    NotRead(String),
    /// The store has no configuration.
    Missing,
    /// The store has an older configuration than this replica uses.
    Older { version: u64 },
    /// Items may belong to a route that could not be read, or to one that was added since.
    MayHaveRoute { version: u64, unreadable_routes: usize },
}

/// Abandons items whenever a check is due. Never returns.
pub async fn abandon_items(mut reader: impl ConfigurationReader, runner: Rc<Runner>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        runner.unrouted.check_requested().await;
        let checked = runner.abandon_unrouted(&mut reader).await;
        match checked {
            Ok(()) => {
                backoff = INITIAL_BACKOFF;
                runner.unrouted.schedule_check(Duration::ZERO);
            }
            Err(unproven) => {
                unproven.log();
                runner.unrouted.schedule_check(backoff);
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

impl Runner {
    /// Determines which items have no batch route: all of them again with each configuration that
    /// changes the paths of batch routes, and those of newly accepted jobs in between.
    pub(crate) fn review_routes(&self) {
        let accepted = self.store.take_accepted();
        let catalog = self.worker.catalog.load();
        if catalog.configuration.is_none() {
            return;
        }
        if self.unrouted.keep_for(&catalog.routes) {
            for job in &accepted {
                self.unrouted.extend(self.store.items_without_route(job, &catalog.routes));
            }
        } else {
            let items = self.store.all_items_without_route(&catalog.routes);
            self.unrouted.replace(catalog.routes.clone(), items);
        }
        self.unrouted.request_due_check();
    }

    async fn abandon_unrouted(
        &self,
        reader: &mut impl ConfigurationReader,
    ) -> Result<(), Unproven> {
        let due = self.due_items(self.unrouted.due());
        if due.is_empty() || !self.store.serves() {
            return Ok(());
        }
        let current = read_current(reader).await?;
        let used = self.worker.catalog.load().version();
        let version = current.version();
        if version < used {
            return Err(Unproven::Older { version });
        }
        let (kept, removed): (Vec<ItemKey>, Vec<ItemKey>) =
            due.into_iter().partition(|key| self.may_have_route(key, &current));
        for items in removed.chunks(MAX_ITEMS_PER_COMMAND) {
            // The configuration may have changed while the previous command was committed.
            let items = self.due_items(items.to_vec());
            if !items.is_empty() && !self.abandon_batch(&items, version).await {
                // If leadership is lost, the next leader proves the removal itself.
                return Ok(());
            }
        }
        if kept.is_empty() {
            return Ok(());
        }
        let unreadable_routes = current.unreadable_routes();
        Err(Unproven::MayHaveRoute { version, unreadable_routes })
    }

    /// Those items that are open, do not run, and have had no route for long enough.
    fn due_items(&self, mut items: Vec<ItemKey>) -> Vec<ItemKey> {
        let running = self.running.borrow();
        items.retain(|key| {
            self.unrouted.is_due(key) && !running.contains_key(key) && self.is_open(key)
        });
        items
    }

    fn may_have_route(&self, (job, index): &ItemKey, current: &CurrentConfiguration) -> bool {
        let may_have_route = self.store.with_job(job, |job| {
            let open = job.open.get(index)?;
            Some(current.may_have_batch(&job.host, &open.item.path))
        });
        may_have_route.flatten().unwrap_or(true)
    }

    /// Abandons items by one command. Returns whether it is committed.
    async fn abandon_batch(&self, items: &[ItemKey], version: u64) -> bool {
        for key in items {
            LogLine::new(EventName::ItemAbandoned)
                .id(self.item_id(key).unwrap_or_default())
                .text("job", &key.0)
                .field("cause", "its route was removed")
                .field("configuration", version)
                .write();
        }
        let commands = items.iter().map(|(job, index)| abandonment(job, *index));
        self.store.propose(&Command::Batch(commands.collect())).await.is_ok()
    }
}

async fn read_current(
    reader: &mut impl ConfigurationReader,
) -> Result<CurrentConfiguration, Unproven> {
    let cause = match tokio::time::timeout(READ_TIMEOUT, reader.read()).await {
        Ok(Ok(Some(current))) => return Ok(current),
        Ok(Ok(None)) => return Err(Unproven::Missing),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no response within {READ_TIMEOUT:?}"),
    };
    reader.reset();
    Err(Unproven::NotRead(cause))
}

impl Unproven {
    fn log(&self) {
        let line = LogLine::new(EventName::RouteRemovalUnproven);
        match self {
            Unproven::NotRead(cause) => line.text("cause", cause),
            Unproven::Missing => line.field("cause", "the store has no configuration"),
            Unproven::Older { version } => line
                .field("cause", "the store has an older configuration than the one in use")
                .field("configuration", *version),
            Unproven::MayHaveRoute { version, unreadable_routes } => line
                .field("cause", "a route may exist that is not known here")
                .field("configuration", *version)
                .field("unreadable_routes", *unreadable_routes),
        }
        .write();
    }
}
