//! Port to the platform's object store: lists and watches of one kind of object.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A position in the store's history; increases with each change of any object.
pub type Revision = u64;

/// All objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// The objects with their names.
    pub items: Vec<Change<T>>,
    /// Revision of the list.
    pub revision: Revision,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// Objects of the page with their names.
    pub items: Vec<Change<T>>,
    /// Revision of the store when it served the page.
    pub revision: Revision,
    /// Name after which the next page begins; `None` on the last page.
    pub next: Option<String>,
}

/// The current state of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<T> {
    /// Name of the object.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The object; `None` if it was removed.
    pub value: Option<T>,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse<T> {
    /// Changes, oldest first, and the revision to continue from.
    Changes {
        /// The changes; empty if the wait ended first.
        changes: Vec<Change<T>>,
        /// Revision to continue from.
        revision: Revision,
    },
    /// The store no longer has the requested history; the objects must be listed again.
    HistoryLost,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// A step of the call failed. The call may have taken effect.
    Failed {
        /// The step that failed, for example `connect`.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The store answered a read, but not with what was asked for.
    Unusable {
        /// The step that failed, for example `parse answer`.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The store rejected the call by its rate limit or because of its state; nothing was done.
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Failed { step, peer, cause }
            | SourceError::Unusable { step, peer, cause } => {
                write!(formatter, "{step} {peer}: {cause}")
            }
            SourceError::Refused { status } => write!(formatter, "rejected with status {status}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// Objects of one kind in the platform's store.
pub trait Source<T> {
    /// Name of the kind, used in metrics.
    fn kind(&self) -> &'static str;

    /// Reads one page: the objects after a name, or the first ones.
    fn list(
        &mut self,
        after: Option<&str>,
    ) -> impl Future<Output = Result<ListPage<T>, SourceError>>;

    /// Waits up to `wait` for changes after `revision`.
    fn watch(
        &mut self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse<T>, SourceError>>;

    /// Drops the connection; the next call opens a new one.
    fn reset(&mut self);
}

/// Owner of a recorded claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The claimant that made the call, now or earlier.
    Mine,
    /// A different claimant.
    Another,
}

/// A machine that is to be drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Whether the drain was reported as completed.
    pub completed: bool,
}

/// Claims recorded in the platform's store, and reports to operators.
pub trait Registry {
    /// Records that `claimant` owns `key` unless a claim exists; the first claim is permanent.
    fn claim(
        &mut self,
        key: &str,
        claimant: &str,
    ) -> impl Future<Output = Result<Claim, SourceError>>;

    /// Reports the progress of draining a machine.
    fn report_retirement(
        &mut self,
        machine: &str,
        completed: bool,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Drops the connection; the next call opens a new one.
    fn reset(&mut self);
}

/// A platform: its object sources, its registry and its HTTP dialect.
pub trait Platform: Clone + Send + 'static {
    /// Source of configurations.
    type Configurations: Source<crate::model::Configuration> + 'static;
    /// Source of back ends.
    type Backends: Source<crate::model::Backend> + 'static;
    /// Source of evacuations, by zone name.
    type Evacuations: Source<crate::model::Evacuation> + 'static;
    /// Source of machines to be drained, by name.
    type Retirements: Source<Retirement> + 'static;
    /// Registry of claims.
    type Registry: Registry + 'static;
    /// Reader of the current configuration.
    type ConfigurationReader: crate::current_configuration::ConfigurationReader + 'static;

    /// Opens a source of configurations with its own connection.
    fn configurations(&self) -> Self::Configurations;
    /// Opens a source of back ends with its own connection.
    fn backends(&self) -> Self::Backends;
    /// Opens a source of evacuations with its own connection.
    fn evacuations(&self) -> Self::Evacuations;
    /// Opens a source of machines to be drained, with its own connection.
    fn retirements(&self) -> Self::Retirements;
    /// Opens the registry.
    fn registry(&self) -> Self::Registry;
    /// Opens a reader of the current configuration, with its own connection.
    fn configuration_reader(&self) -> Self::ConfigurationReader;
    /// Names and formats of HTTP calls.
    fn dialect(&self) -> std::sync::Arc<dyn crate::dialect::Dialect>;
}
