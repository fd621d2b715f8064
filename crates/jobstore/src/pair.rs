//! Claims of a two-member group, and what its members do with them when the other one is lost.

use std::rc::Rc;
use std::time::Duration;

use yokefall_consensus::policy::{
    may_become_sole_voter, should_become_sole_voter, should_withdraw_pair,
};
use yokefall_consensus::Pair;
use yokefall_serving::{Claim, Platform, Registry};

use crate::group::{log_decision, CLAIM_TIMEOUT, JOIN_LIFETIME};
use crate::store::Store;

/// Interval at which a member of a two-member group checks whether the other one is gone.
const PAIR_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a claim that failed or is another member's.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Claims the exclusive right to act for a two-member group; without a pair no claim is needed.
pub(crate) async fn claim_pair<P: Platform>(
    platform: &P,
    store: &Store,
    pair: Option<Pair>,
) -> bool {
    let Some(pair) = pair else { return true };
    let me = store.with_core(|core, _| core.id().to_string());
    let mut registry = platform.registry();
    for epoch in pair.epochs() {
        let key = format!("pair-{epoch}");
        let claimed = tokio::time::timeout(CLAIM_TIMEOUT, registry.claim(&key, &me)).await;
        if !matches!(claimed, Ok(Ok(Claim::Mine))) {
            return false;
        }
    }
    true
}

/// In a two-member group whose other member is unresponsive, continues alone if this member's claim
/// is the first. Never returns.
pub async fn continue_alone<P: Platform>(platform: P, store: Rc<Store>) {
    loop {
        tokio::time::sleep(PAIR_CHECK_INTERVAL).await;
        withdraw_removal(&platform, &store).await;
        let joining = store.joining(JOIN_LIFETIME);
        let pair = store.with_core(|core, now| {
            if !may_become_sole_voter(core, now) || !core.leave_term(now) {
                return None;
            }
            core.pair().filter(|_| should_become_sole_voter(core, now, &joining))
        });
        if pair.is_none() {
            continue;
        }
        if !claim_pair(&platform, &store, pair).await {
            tokio::time::sleep(CLAIM_RETRY_INTERVAL).await;
            continue;
        }
        let alone = store.with_core(|core, now| {
            let silent = should_become_sole_voter(core, now, &joining);
            silent && pair.is_some_and(|pair| core.become_sole_voter(now, pair))
        });
        if alone {
            log_decision(
                "continue alone in a two-member group",
                store.with_core(|c, _| c.id().clone()),
            );
            store.deadline_changed.notify_one();
        }
    }
}

/// Withdraws the removal of a third voter if the other one that remains was lost before this member
/// knew it to be committed.
async fn withdraw_removal<P: Platform>(platform: &P, store: &Store) {
    let pair = store.with_core(|core, now| {
        let may_claim = should_withdraw_pair(core, now) && core.leave_term(now);
        core.uncommitted_pair().filter(|_| may_claim)
    });
    let Some(pair) = pair else { return };
    if !claim_pair(platform, store, Some(pair)).await {
        log_decision("wait for the claim of a two-member group", format!("{pair:?}"));
        tokio::time::sleep(CLAIM_RETRY_INTERVAL).await;
        return;
    }
    store.with_core(|core, _| core.withdraw_uncommitted_pair(pair));
}
