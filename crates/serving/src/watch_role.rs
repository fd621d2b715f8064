//! Which processes watch the platform's store, and which learn from them.
//!
//! In each zone members are ranked by rendezvous hashing. The first `WATCHERS_PER_ZONE` of them
//! watch the store and send heartbeats to the next `STANDBYS_PER_ZONE`, which take over while
//! heartbeats of watchers are missing. A process without a configuration, or whose peers cannot
//! supply what they know, reads the store itself.

use std::cmp::Reverse;
use std::collections::HashMap;

use tokio::sync::watch;
use yokefall_core::Timestamp;
use yokefall_types::rendezvous_score;

use crate::fleet::FleetMember;

/// Hash key by which all processes rank the members of a zone alike.
const WATCHER_KEY: &[u8] = b"platform-watchers";
/// Members of a zone that watch the store: one may fail at any time.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Members of a zone that receive heartbeats of watchers and take over from them.
pub const STANDBYS_PER_ZONE: usize = 2;
/// Interval at which a watcher sends heartbeats while the store answers it, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// Time without a heartbeat after which a watcher counts as lost, in milliseconds: three
/// heartbeats, and below the second within which a watcher must be replaced.
const HEARTBEAT_TIMEOUT_MS: u64 = 950;
/// Time after a start before ranks are used, in milliseconds: the members are not known earlier.
const START_GRACE_MS: u64 = 1_000;
/// Shortest time that a process without a configuration waits for one from peers, in milliseconds:
/// a seed answers within a few milliseconds, or a few tens when many processes start at once.
const CONFIGURATION_WAIT_MS: u64 = 100;
/// Jitter of that wait, in milliseconds: the processes that read the store first inform the others.
const CONFIGURATION_WAIT_JITTER_MS: u64 = 300;
/// Wait and jitter at the system's first start, before there are callers, in milliseconds.
const FIRST_START_WAIT_MS: u64 = 1_500;
const FIRST_START_WAIT_JITTER_MS: u64 = 3_000;
/// Time for which a rank must be stable before a process reads back ends because of it, in
/// milliseconds. After a start member lists are compared every 100 ms, and each comparison that
/// reveals members changes the rank of those that wrongly ranked first. Without the delay most of
/// 986 restarting processes read the list, and none knew a back end after 24 s.
const RANK_SETTLED_MS: u64 = 350;
/// Wait of a starting process for back ends read by others, and its jitter, in milliseconds: a list
/// of 3,000 is read in under a second and reaches 300 members within five exchanges.
const BACKENDS_WAIT_MS: u64 = 2_500;
const BACKENDS_WAIT_JITTER_MS: u64 = 1_500;
/// Longest wait for back ends after a peer that knows them was first heard, in milliseconds. After
/// a first start no peer knows them for some seconds; then each that does sends the whole list to
/// two others at a time, and 1,000 members know 10,000 back ends after about 6 s. With a limit of 4
/// s, 986 processes made 28,000 calls in 90 s; with this one they made 1,000.
const MAX_BACKENDS_WAIT_MS: u64 = 8_000;
/// Time of reading the store for lack of peers, in milliseconds: enough for a list and its changes.
const CATCH_UP_MS: u64 = 2_000;

/// Whether this process watches the store, as seen by the watching tasks.
#[derive(Clone, Debug)]
pub struct WatchRole {
    /// `None` for a process that always watches.
    receiver: Option<watch::Receiver<bool>>,
}

impl WatchRole {
    /// The role of a process that always watches.
    pub fn always() -> Self {
        Self { receiver: None }
    }

    /// A role that its sender switches on and off.
    pub fn controlled() -> (watch::Sender<bool>, Self) {
        let (sender, receiver) = watch::channel(false);
        (sender, Self { receiver: Some(receiver) })
    }

    /// Waits until the role is active.
    pub async fn started(&mut self) {
        self.wait_for(true).await;
    }

    /// Whether the role is active.
    pub fn is_active(&self) -> bool {
        self.receiver.as_ref().is_none_or(|receiver| *receiver.borrow())
    }

    /// Waits until the role is no longer active.
    pub async fn ended(&mut self) {
        match self.receiver {
            Some(_) => self.wait_for(false).await,
            None => std::future::pending().await,
        }
    }

    async fn wait_for(&mut self, wanted: bool) {
        let Some(receiver) = &mut self.receiver else { return };
        // The sender is dropped only when the process ends.
        if receiver.wait_for(|is_active| *is_active == wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Rank of a member among the live members of its zone, and the standbys behind it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Rank of this process; 0 is the first.
    pub rank: usize,
    /// Names of the members behind this process that receive heartbeats of watchers.
    pub standbys: Vec<String>,
}

impl Ranking {
    /// Ranks the members of a zone, including the one named `own_name`.
    pub fn new(members: &[FleetMember], zone: &str, own_name: &str) -> Self {
        let in_zone = members.iter().filter(|member| member.zone == zone);
        let live = in_zone.filter(|member| member.accepting || member.name == own_name);
        let mut names: Vec<&str> = live.map(|member| member.name.as_str()).collect();
        let score = rendezvous_score(WATCHER_KEY);
        names.sort_by_cached_key(|name| Reverse(score(name)));
        let rank = names.iter().position(|name| *name == own_name).unwrap_or(0);
        // A standby sends no heartbeats to those before it: two standbys that received each other's
        // heartbeats would stop together and start again together.
        let standbys_end = WATCHERS_PER_ZONE + STANDBYS_PER_ZONE;
        let standbys = names.iter().take(standbys_end).skip(WATCHERS_PER_ZONE.max(rank + 1));
        Self { rank, standbys: standbys.map(|name| (*name).to_owned()).collect() }
    }
}

/// Decides whether this process watches the store. Invariant: if the store answers any of the first
/// `WATCHERS_PER_ZONE + STANDBYS_PER_ZONE` members of a zone, the zone has a watcher within a
/// second of losing one; otherwise its members learn of changes only from other zones.
#[derive(Debug)]
pub struct WatcherElection {
    started: Timestamp,
    /// When this process reads the store itself unless it has a configuration by then.
    configuration_deadline: Timestamp,
    /// The same for back ends while others are expected to read them.
    backends_deadline: Timestamp,
    /// When a peer that knows back ends was first heard.
    peer_with_backends_at: Option<Timestamp>,
    backends_jitter_ms: u64,
    ranking: Ranking,
    ranked_at: Timestamp,
    heartbeats: HashMap<String, Timestamp>,
    catch_up_until: Option<Timestamp>,
}

impl WatcherElection {
    /// State at the start of a process. `jitter` is drawn from 0 to 1 at each start.
    pub fn new(now: Timestamp, is_first_start: bool, jitter: f64) -> Self {
        let (wait, max_jitter) = match is_first_start {
            true => (FIRST_START_WAIT_MS, FIRST_START_WAIT_JITTER_MS),
            false => (CONFIGURATION_WAIT_MS, CONFIGURATION_WAIT_JITTER_MS),
        };
        let wait = wait + (max_jitter as f64 * jitter) as u64;
        let backends_jitter_ms = (BACKENDS_WAIT_JITTER_MS as f64 * jitter) as u64;
        Self {
            started: now,
            configuration_deadline: now.plus_millis(wait),
            backends_deadline: now.plus_millis(wait + BACKENDS_WAIT_MS + backends_jitter_ms),
            peer_with_backends_at: None,
            backends_jitter_ms,
            ranking: Ranking::default(),
            ranked_at: now,
            heartbeats: HashMap::new(),
            catch_up_until: None,
        }
    }

    /// Sets the rank after the live members changed.
    pub fn rank(&mut self, now: Timestamp, ranking: Ranking) {
        if self.ranking != ranking {
            self.ranking = ranking;
            self.ranked_at = now;
        }
    }

    /// Records a heartbeat of a watcher that the store answers.
    pub fn record_watcher_heartbeat(&mut self, now: Timestamp, name: &str) {
        self.heartbeats.insert(name.to_owned(), now);
    }

    /// Records that a peer knows back ends, which postpones reading them from the store.
    pub fn record_peer_with_backends(&mut self, now: Timestamp) {
        let since = *self.peer_with_backends_at.get_or_insert(now);
        let latest = since.plus_millis(MAX_BACKENDS_WAIT_MS + self.backends_jitter_ms);
        let postponed = now.plus_millis(BACKENDS_WAIT_MS).min(latest);
        self.backends_deadline = self.backends_deadline.max(postponed);
    }

    /// Watches the store for a while because peers could not supply what they know.
    pub fn catch_up(&mut self, now: Timestamp) {
        self.catch_up_until = Some(now.plus_millis(CATCH_UP_MS));
    }

    /// Whether this process watches the store now.
    pub fn watches(&mut self, now: Timestamp, knows_configuration: bool) -> bool {
        if self.catch_up_until.is_some_and(|until| now < until) {
            return true;
        }
        if !knows_configuration {
            return now >= self.configuration_deadline;
        }
        if now < self.started.plus_millis(START_GRACE_MS) {
            return false;
        }
        match self.ranking.rank {
            rank if rank < WATCHERS_PER_ZONE => true,
            rank if rank < WATCHERS_PER_ZONE + STANDBYS_PER_ZONE => self.is_missing_watchers(now),
            _ => false,
        }
    }

    /// Whether this process reads back ends now. They take many calls, unlike the configuration:
    /// after a start of all processes only watchers read them, and the others learn from these.
    pub fn reads_backends(&mut self, now: Timestamp, knows_backends: bool) -> bool {
        if self.watches(now, true) {
            return true;
        }
        if knows_backends {
            return false;
        }
        // Until a process knows most members, it may rank first among the few that it knows.
        let is_settled = now.millis_since(self.ranked_at) >= RANK_SETTLED_MS;
        let is_first = self.ranking.rank < WATCHERS_PER_ZONE
            && is_settled
            && now >= self.configuration_deadline;
        is_first || now >= self.backends_deadline
    }

    fn is_missing_watchers(&mut self, now: Timestamp) -> bool {
        self.heartbeats.retain(|_, at| now.millis_since(*at) < HEARTBEAT_TIMEOUT_MS);
        let is_settled = now.millis_since(self.ranked_at) >= HEARTBEAT_TIMEOUT_MS;
        is_settled && self.heartbeats.len() < WATCHERS_PER_ZONE
    }

    /// Rank of this process among the members of its zone; 0 is the first.
    pub fn own_rank(&self) -> usize {
        self.ranking.rank
    }

    /// Names of the members to which a watcher sends heartbeats.
    pub fn standbys(&self) -> &[String] {
        &self.ranking.standbys
    }

    /// When the result of `watches` may change without an event.
    pub fn next_check(
        &self,
        now: Timestamp,
        knows_configuration: bool,
        knows_backends: bool,
    ) -> Timestamp {
        let next_heartbeat = now.plus_millis(HEARTBEAT_INTERVAL_MS);
        let is_standby =
            (WATCHERS_PER_ZONE..WATCHERS_PER_ZONE + STANDBYS_PER_ZONE).contains(&self.ranking.rank);
        let grace_end = self.started.plus_millis(START_GRACE_MS);
        if !(knows_configuration && knows_backends) && now < self.configuration_deadline {
            return self.configuration_deadline;
        }
        if now < grace_end {
            return grace_end;
        }
        match self.catch_up_until {
            Some(until) if now < until => until,
            _ if is_standby => next_heartbeat,
            _ if !knows_backends => next_heartbeat,
            // Ranks change with the members, and a change of the members wakes the process.
            _ => now.plus_millis(3_600_000),
        }
    }
}
