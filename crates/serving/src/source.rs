//! The port to the platform's object store: lists and watches of one kind of object.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A position in the store's history; grows with each change of any object.
pub type Revision = u64;

/// One kind of object, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// Every object with its name.
    pub items: Vec<Change<T>>,
    /// Revision of the list.
    pub revision: Revision,
}

/// A part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// Objects of the page, each with its name.
    pub items: Vec<Change<T>>,
    /// Revision of the store as it gave the page.
    pub revision: Revision,
    /// Name after which the next page begins; `None` on the last page.
    pub next: Option<String>,
}

/// An object as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<T> {
    /// Name of the object.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The object; `None` when it is gone.
    pub value: Option<T>,
}

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse<T> {
    /// What changed, oldest first, and the revision to go on from.
    Changes {
        /// The changes; none when the wait ended first.
        changes: Vec<Change<T>>,
        /// Where to go on.
        revision: Revision,
    },
    /// The store no longer has the history asked for; list again.
    HistoryLost,
}

/// Why a call to the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// The step that failed, and the cause. The call may have had an effect.
    Failed {
        /// Step, such as `connect`.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The store refused: too many calls, or not now. Nothing was done.
    Refused {
        /// Status it gave.
        status: u16,
    },
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Failed { step, peer, cause } => {
                write!(formatter, "{step} {peer}: {cause}")
            }
            SourceError::Refused { status } => write!(formatter, "refused with {status}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// Objects of one kind in the platform's store.
pub trait Source<T> {
    /// Name of the kind, for figures.
    fn kind(&self) -> &'static str;

    /// Reads the objects after a name, or the first ones: one call.
    fn list(
        &mut self,
        after: Option<&str>,
    ) -> impl Future<Output = Result<ListPage<T>, SourceError>>;

    /// Waits for changes after `revision`, for `wait` at most.
    fn watch(
        &mut self,
        revision: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse<T>, SourceError>>;

    /// Drops the connection: the next call makes a new one.
    fn reset(&mut self);
}

/// Whose claim is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The one that was made now, or before by the same claimant.
    Mine,
    /// Another claimant's.
    Another,
}

/// A machine that is to be emptied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retirement {
    /// Whether it was reported as done.
    pub completed: bool,
}

/// Records of the system's own in the platform's store, and reports to operators.
pub trait Registry {
    /// Records that `claimant` has what `key` names, unless a claim is recorded already. The first
    /// claim stays for ever.
    fn claim(
        &mut self,
        key: &str,
        claimant: &str,
    ) -> impl Future<Output = Result<Claim, SourceError>>;

    /// Reports how far a machine's emptying is.
    fn report_retirement(
        &mut self,
        machine: &str,
        completed: bool,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Drops the connection: the next call makes a new one.
    fn reset(&mut self);
}

/// A platform: its sources, its records and its dialect.
pub trait Platform: Clone + Send + 'static {
    /// Source of configurations.
    type Configurations: Source<crate::model::Configuration> + 'static;
    /// Source of back ends.
    type Backends: Source<crate::model::Backend> + 'static;
    /// Source of requests to evacuate zones, by the names of the zones.
    type Evacuations: Source<crate::model::Evacuation> + 'static;
    /// Source of machines that are to be emptied, by their names.
    type Retirements: Source<Retirement> + 'static;
    /// Records.
    type Registry: Registry + 'static;

    /// A new source of configurations, with a connection of its own.
    fn configurations(&self) -> Self::Configurations;
    /// A new source of back ends, with a connection of its own.
    fn backends(&self) -> Self::Backends;
    /// A new source of requests to evacuate zones, with a connection of its own.
    fn evacuations(&self) -> Self::Evacuations;
    /// A new source of machines that are to be emptied, with a connection of its own.
    fn retirements(&self) -> Self::Retirements;
    /// The records.
    fn registry(&self) -> Self::Registry;
    /// Names and formats of HTTP calls.
    fn dialect(&self) -> std::sync::Arc<dyn crate::dialect::Dialect>;
}
