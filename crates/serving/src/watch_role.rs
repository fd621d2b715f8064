//! Which processes watch the platform's store, and which learn from them.
//!
//! In each zone the members are ranked by rendezvous score. The first `WATCHERS` watch. They
//! say so to the next `STANDBYS`, who take over while they hear of too few. A process that knows no
//! configuration, or to whom peers cannot give what they know, reads the store for itself.

use std::cmp::Reverse;
use std::collections::HashMap;

use tokio::sync::watch;
use yokefall_core::Timestamp;
use yokefall_types::rendezvous_score;

use crate::fleet::FleetMember;

/// Key by which every process ranks the members of a zone the same way.
const WATCHER_KEY: &[u8] = b"platform-watchers";
/// Members of a zone that watch: one may be lost at any moment.
pub const WATCHERS: usize = 2;
/// Members of a zone that hear of watchers and take over.
pub const STANDBYS: usize = 2;
/// Interval at which a watcher says that the store answers it, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// Time without a heartbeat after which a watcher counts as lost, in milliseconds: three heartbeats,
/// and below the second within which a watcher is to be replaced.
const HEARTBEAT_LIFETIME_MS: u64 = 950;
/// Time from a start until ranks count, in milliseconds: the members are not known before.
const START_GRACE_MS: u64 = 1_000;
/// Shortest time that a process without a configuration waits for one from peers, in milliseconds: a
/// seed answers in some milliseconds, and some tens where many processes start at once.
const PATIENCE_MS: u64 = 100;
/// Spread of that time among processes: those that ask first tell the others.
const PATIENCE_SPREAD_MS: u64 = 300;
/// The same where the whole system starts for the first time, before there are callers.
const FIRST_START_PATIENCE_MS: u64 = 1_500;
const FIRST_START_SPREAD_MS: u64 = 3_000;
/// Time for which a rank must stand before a process reads back ends by it, in milliseconds: lists of members are
/// compared every 100 ms after a start, and each comparison that tells of more changes the rank of those who are first
/// by mistake. Of 986 processes that started again none knew a back end 24 s later, since most of them read.
const RANK_SETTLED_MS: u64 = 350;
/// Time from its start for which a process waits for back ends from peers where others read them, in
/// milliseconds, and the spread of it: a list of 3,000 takes a reader under a second, and its way to 300
/// members five exchanges.
const BACKENDS_PATIENCE_MS: u64 = 2_500;
const BACKENDS_SPREAD_MS: u64 = 1_500;
/// Time after which a process reads back ends itself though peers know them, in milliseconds from when it first heard
/// so: after a first start nobody does for some seconds. These tell
/// two whole lists at once each, so that 1,000 members know 10,000 back ends after some 6 s. Where all read them that
/// had waited for 4 s, 986 processes made 28,000 calls in a minute and a half, and 1,000 with this.
const LONGEST_BACKENDS_PATIENCE_MS: u64 = 8_000;
/// Time for which a process reads the store after peers could not give what they know, in
/// milliseconds: a list and what follows it.
const CATCH_UP_MS: u64 = 2_000;

/// Whether this process watches, as the watching tasks see it.
#[derive(Clone, Debug)]
pub struct WatchRole {
    /// `None` for a process that always watches.
    receiver: Option<watch::Receiver<bool>>,
}

impl WatchRole {
    /// The duty of a process that always watches.
    pub fn always() -> Self {
        Self { receiver: None }
    }

    /// A duty that begins and ends as its sender says.
    pub fn controlled() -> (watch::Sender<bool>, Self) {
        let (sender, receiver) = watch::channel(false);
        (sender, Self { receiver: Some(receiver) })
    }

    /// Waits until the duty has begun.
    pub async fn started(&mut self) {
        self.becomes(true).await;
    }

    /// Whether it has begun and not ended.
    pub fn is_active(&self) -> bool {
        self.receiver.as_ref().is_none_or(|receiver| *receiver.borrow())
    }

    /// Waits until the duty has ended.
    pub async fn ended(&mut self) {
        match self.receiver {
            Some(_) => self.becomes(false).await,
            None => std::future::pending().await,
        }
    }

    async fn becomes(&mut self, wanted: bool) {
        let Some(receiver) = &mut self.receiver else { return };
        // A sender that is gone belongs to a process that ends.
        if receiver.wait_for(|watch_role| *watch_role == wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Position of a member among the live members of its zone, and who comes after the watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranking {
    /// Position of this process, 0 the first.
    pub rank: usize,
    /// Names of the members after this process that hear of watchers.
    pub standbys: Vec<String>,
}

impl Ranking {
    /// Ranks the members of a zone, `me` among them.
    pub fn new(members: &[FleetMember], zone: &str, me: &str) -> Self {
        let in_zone = members.iter().filter(|member| member.zone == zone);
        let live = in_zone.filter(|member| member.accepting || member.name == me);
        let mut names: Vec<&str> = live.map(|member| member.name.as_str()).collect();
        let score = rendezvous_score(WATCHER_KEY);
        names.sort_by_cached_key(|name| Reverse(score(name)));
        let rank = names.iter().position(|name| *name == me).unwrap_or(0);
        // Two standbys that heard each other would give up together, and begin together again.
        let last = WATCHERS + STANDBYS;
        let standbys = names.iter().take(last).skip(WATCHERS.max(rank + 1));
        Self { rank, standbys: standbys.map(|name| (*name).to_owned()).collect() }
    }
}

/// Decides whether this process watches. Invariant: where the store answers any of the first
/// `WATCHERS + STANDBYS` members of a zone, the zone has a watcher within a second of the loss of the
/// one before; otherwise its members hear of changes from other zones alone.
#[derive(Debug)]
pub struct WatcherElection {
    started: Timestamp,
    /// When this process asks the store itself if it knows no configuration until then.
    ask_at: Timestamp,
    /// The same for back ends, where others are to read them.
    ask_backends_at: Timestamp,
    /// When a peer that knows back ends was first heard.
    backends_heard_at: Option<Timestamp>,
    /// By how much later than others this process asks, in milliseconds.
    backends_spread_ms: u64,
    ranking: Ranking,
    ranked_at: Timestamp,
    /// When watchers were last heard, by name.
    heard: HashMap<String, Timestamp>,
    catch_up_until: Option<Timestamp>,
}

impl WatcherElection {
    /// The roster of a process that starts now. `spread` is drawn from 0 to 1 for each start.
    pub fn new(now: Timestamp, is_first_start: bool, spread: f64) -> Self {
        let (patience, range) = match is_first_start {
            true => (FIRST_START_PATIENCE_MS, FIRST_START_SPREAD_MS),
            false => (PATIENCE_MS, PATIENCE_SPREAD_MS),
        };
        let patience = patience + (range as f64 * spread) as u64;
        let backends_spread_ms = (BACKENDS_SPREAD_MS as f64 * spread) as u64;
        Self {
            started: now,
            ask_at: now.plus_millis(patience),
            ask_backends_at: now.plus_millis(patience + BACKENDS_PATIENCE_MS + backends_spread_ms),
            backends_heard_at: None,
            backends_spread_ms,
            ranking: Ranking::default(),
            ranked_at: now,
            heard: HashMap::new(),
            catch_up_until: None,
        }
    }

    /// The live members changed.
    pub fn rank(&mut self, now: Timestamp, ranking: Ranking) {
        if self.ranking != ranking {
            self.ranking = ranking;
            self.ranked_at = now;
        }
    }

    /// A watcher says that the store answers it.
    pub fn record_watcher_heartbeat(&mut self, now: Timestamp, name: &str) {
        self.heard.insert(name.to_owned(), now);
    }

    /// A peer knows back ends, so that they come from there.
    pub fn record_peer_with_backends(&mut self, now: Timestamp) {
        let since = *self.backends_heard_at.get_or_insert(now);
        let latest = since.plus_millis(LONGEST_BACKENDS_PATIENCE_MS + self.backends_spread_ms);
        let put_off = now.plus_millis(BACKENDS_PATIENCE_MS).min(latest);
        self.ask_backends_at = self.ask_backends_at.max(put_off);
    }

    /// Peers know more and could not tell it.
    pub fn catch_up(&mut self, now: Timestamp) {
        self.catch_up_until = Some(now.plus_millis(CATCH_UP_MS));
    }

    /// Whether this process watches now.
    pub fn watches(&mut self, now: Timestamp, knows_configuration: bool) -> bool {
        if self.catch_up_until.is_some_and(|until| now < until) {
            return true;
        }
        if !knows_configuration {
            return now >= self.ask_at;
        }
        if now < self.started.plus_millis(START_GRACE_MS) {
            return false;
        }
        match self.ranking.rank {
            rank if rank < WATCHERS => true,
            rank if rank < WATCHERS + STANDBYS => self.lacks_watchers(now),
            _ => false,
        }
    }

    /// Whether this process reads back ends now. Unlike the configuration they take many calls: after a
    /// start of all, those read them that watch, and the others learn them from these.
    pub fn reads_backends(&mut self, now: Timestamp, knows_backends: bool) -> bool {
        if self.watches(now, true) {
            return true;
        }
        if knows_backends {
            return false;
        }
        // A process that knows few members yet is the first of them.
        let is_settled = now.millis_since(self.ranked_at) >= RANK_SETTLED_MS;
        let is_first = self.ranking.rank < WATCHERS && is_settled && now >= self.ask_at;
        is_first || now >= self.ask_backends_at
    }

    /// Whether a standby hears of too few watchers.
    fn lacks_watchers(&mut self, now: Timestamp) -> bool {
        self.heard.retain(|_, at| now.millis_since(*at) < HEARTBEAT_LIFETIME_MS);
        let is_settled = now.millis_since(self.ranked_at) >= HEARTBEAT_LIFETIME_MS;
        is_settled && self.heard.len() < WATCHERS
    }

    /// Position of this process among the members of its zone, 0 the first.
    pub fn own_rank(&self) -> usize {
        self.ranking.rank
    }

    /// Names of the members to which a watcher says that the store answers it.
    pub fn standbys(&self) -> &[String] {
        &self.ranking.standbys
    }

    /// When `watches` may change without news.
    pub fn next_check(
        &self,
        now: Timestamp,
        knows_configuration: bool,
        knows_backends: bool,
    ) -> Timestamp {
        let regular = now.plus_millis(HEARTBEAT_INTERVAL_MS);
        let is_standby = (WATCHERS..WATCHERS + STANDBYS).contains(&self.ranking.rank);
        let begins = self.started.plus_millis(START_GRACE_MS);
        if !(knows_configuration && knows_backends) && now < self.ask_at {
            return self.ask_at;
        }
        if now < begins {
            return begins;
        }
        match self.catch_up_until {
            Some(until) if now < until => until,
            _ if is_standby => regular,
            _ if !knows_backends => regular,
            // Ranks change with the members, which wake the process by themselves.
            _ => now.plus_millis(3_600_000),
        }
    }
}
