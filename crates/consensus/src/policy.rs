//! Membership policy of the leader: reacts to members that join, do not respond or are drained.

use crate::membership::VoterChange;
use crate::message::{MemberId, Members};
use crate::node::{Consensus, Millis, Role};
use crate::zones::Zones;

/// Time without a response before a voter may be replaced by a waiting member, in milliseconds.
const VOTER_TIMEOUT_MS: Millis = 2_500;
/// The same if no machine waits, in milliseconds: the voter counts as gone for good, and the group
/// survives one loss more without it.
const DEPARTURE_TIMEOUT_MS: Millis = 3_000;
/// Number of voters below which none is removed for lack of responses: two disks hold everything.
const MIN_VOTERS: usize = 2;
/// Time without the other member of a pair after which one continues alone, in milliseconds.
const PAIR_TIMEOUT_MS: Millis = 6_000;
/// The same if the disk of the other member is known to be lost, in milliseconds.
const LOST_DISK_TIMEOUT_MS: Millis = 1_200;
/// Time without a response before a learner is removed, in milliseconds; it may join again.
const LEARNER_TIMEOUT_MS: Millis = 5_000;
/// Maximum number of entries that a learner may lack when it becomes a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// Inputs of the policy from outside of the log.
#[derive(Clone, Debug, Default)]
pub struct DesiredMembership {
    /// Members that ask to join.
    pub joining: Vec<MemberId>,
    /// Names of members that are being drained.
    pub leaving: Vec<String>,
    /// Desired number of voters.
    pub voters: usize,
    /// Zones of machines.
    pub zones: Zones,
}

/// The next action of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Idle,
    /// Propose this membership.
    Change(Members),
    /// Move the pair to a new epoch.
    RenewPair,
    /// Transfer leadership to one of these voters.
    TransferLeadership(Vec<MemberId>),
}

/// Computes the next step. One voter changes at a time, and a replacement votes before the old
/// voter is removed, so that the group is a pair only if it has no more than two machines.
pub fn next_step(node: &Consensus, now: Millis, desired: &DesiredMembership) -> Step {
    let members = node.members();
    let steps = RULES.iter().filter_map(|rule| rule(node, now, members, desired));
    let mut possible = steps.filter(|step| can_commit(node, now, step));
    possible.next().unwrap_or(Step::Idle)
}

/// Proposes a step, or nothing.
type Rule = fn(&Consensus, Millis, &Members, &DesiredMembership) -> Option<Step>;

/// The rules in order of precedence.
const RULES: [Rule; 8] = [
    renew_pair,
    admit,
    replace_lost_disk,
    promote,
    remove_leaving,
    drop_unresponsive_voter,
    drop_unresponsive_learner,
    rebalance_zones,
];

/// Whether the voters after a step can commit it: until then the group does not serve, and nothing
/// else can be changed.
fn can_commit(node: &Consensus, now: Millis, step: &Step) -> bool {
    match step {
        Step::Change(members) if node.voter_change(members) != VoterChange::None => {
            node.quorum_responds(now, members)
        }
        Step::Idle | Step::Change(_) | Step::RenewPair | Step::TransferLeadership(_) => true,
    }
}

/// Voids claims on the pair that nobody has used, while both members respond.
fn renew_pair(
    node: &Consensus,
    now: Millis,
    members: &Members,
    _: &DesiredMembership,
) -> Option<Step> {
    let all_respond = members.voters.iter().all(|voter| node.is_responsive(now, voter));
    (node.should_renew_pair() && all_respond).then_some(Step::RenewPair)
}

/// Number of further voters that the group can lose and still serve, as its leader sees it. A pair
/// survives a loss while claims can be made.
pub fn tolerated_losses(node: &Consensus, now: Millis) -> usize {
    let members = node.members();
    let responsive = members.voters.iter().filter(|voter| node.is_responsive(now, voter)).count();
    let is_whole_pair = members.voters.len() == 2 && responsive == 2;
    if is_whole_pair {
        1
    } else {
        responsive.saturating_sub(members.quorum())
    }
}

/// Whether a change of members needs the claim on a pair: it changes the voters of the pair other
/// than by replacing a lost disk, and the other member may have continued alone, or may try to.
pub fn needs_claim(node: &Consensus, members: &Members) -> bool {
    let voter_change = node.voter_change(members);
    node.members().voters.len() == 2 && voter_change == VoterChange::One
}

/// Whether a change of members leaves a pair, which can neither survive a loss nor admit a voter
/// unless claims can be made.
pub fn leaves_pair(node: &Consensus, members: &Members) -> bool {
    node.members().voters.len() > 2 && members.voters.len() == 2
}

/// Whether a member of a pair has missed the other one for so long that it may soon try to continue
/// alone, for which it has to leave the term of its leader.
pub fn may_become_sole_voter(node: &Consensus, now: Millis) -> bool {
    let is_isolated = node.isolated_ms(now) >= LOST_DISK_TIMEOUT_MS;
    node.role() != Role::Leader && is_isolated && node.pair().is_some()
}

/// Whether a member should try to withdraw the removal of a third voter, whose outcome it does not
/// know: the other voter that remains does not respond.
pub fn should_withdraw_pair(node: &Consensus, now: Millis) -> bool {
    let is_isolated = node.isolated_ms(now) >= LOST_DISK_TIMEOUT_MS;
    let may_try = node.role() != Role::Leader && is_isolated && !node.is_withdrawing();
    may_try && node.uncommitted_pair().is_some()
}

/// Whether a member of a pair should try to continue alone: soon if the other one asks to join with
/// an empty disk; sooner than most network partitions end if a new machine asks to join, or is a
/// learner, and can hold the second copy; otherwise only after that time.
pub fn should_become_sole_voter(node: &Consensus, now: Millis, joining: &[MemberId]) -> bool {
    if !may_become_sole_voter(node, now) {
        return false;
    }
    let is_lost = |voter: &MemberId| {
        joining.iter().any(|member| member.name == voter.name && member != voter)
    };
    let other_disk_lost =
        node.members().voters.iter().any(|voter| voter != node.id() && is_lost(voter));
    let is_new = |member: &MemberId| node.members().all().all(|known| known.name != member.name);
    let has_successor = !node.members().learners.is_empty() || joining.iter().any(is_new);
    let timeout = match (other_disk_lost, has_successor) {
        (true, _) => LOST_DISK_TIMEOUT_MS,
        (false, true) => DEPARTURE_TIMEOUT_MS,
        (false, false) => PAIR_TIMEOUT_MS,
    };
    node.isolated_ms(now) >= timeout
}

fn is_caught_up(node: &Consensus, now: Millis, member: &MemberId) -> bool {
    node.matched(member) + MAX_LEARNER_LAG_ENTRIES >= node.log().last_index()
        && node.silent_ms(now, member) < VOTER_TIMEOUT_MS
}

/// Replaces a voter by the caught-up learner of the same name. Its response proves that the other
/// disk is gone: a machine runs one process, and that one opened an empty disk.
fn replace_lost_disk(
    node: &Consensus,
    now: Millis,
    members: &Members,
    _: &DesiredMembership,
) -> Option<Step> {
    let replaces_voter = |learner: &&MemberId| {
        members.voters.iter().any(|voter| voter.name == learner.name)
            && node.matched(learner) > 0
            && is_caught_up(node, now, learner)
    };
    let learner = members.learners.iter().find(replaces_voter)?;
    let mut members = members.clone();
    members.learners.retain(|other| other != learner);
    members.voters.retain(|voter| voter.name != learner.name);
    members.voters.push(learner.clone());
    Some(Step::Change(members))
}

fn without(members: &Members, member: &MemberId) -> Members {
    let keep = |list: &[MemberId]| list.iter().filter(|other| *other != member).cloned().collect();
    Members {
        voters: keep(&members.voters),
        learners: keep(&members.learners),
        epoch: members.epoch,
    }
}

fn may_join(members: &Members, desired: &DesiredMembership, member: &MemberId) -> bool {
    !members.contains(member) && !desired.leaving.contains(&member.name)
}

/// Admits a member that asks to join as a learner if the group has, or is about to have, too few
/// voters. Other candidates stay outside without any data, since each member costs the leader a
/// copy of the log. A member whose name is in the group has replaced a lost disk and is admitted.
fn admit(
    node: &Consensus,
    now: Millis,
    members: &Members,
    desired: &DesiredMembership,
) -> Option<Step> {
    let stays = |member: &&MemberId| {
        node.silent_ms(now, member) < VOTER_TIMEOUT_MS && !desired.leaving.contains(&member.name)
    };
    let staying = members.all().filter(stays).count();
    let wanted = |member: &&MemberId| {
        let known = members.all().any(|other| other.name == member.name);
        may_join(members, desired, member) && (known || staying < desired.voters)
    };
    let joining =
        desired.zones.candidate_of_smallest_zone(members, desired.joining.iter().filter(wanted))?;
    let mut members = members.clone();
    members.learners.retain(|learner| learner.name != joining.name);
    members.learners.push(joining.clone());
    Some(Step::Change(members))
}

/// Makes a caught-up learner a voter if a place is free or about to be: a voter does not respond or
/// is drained. All others must respond, or the change could not commit.
fn promote(
    node: &Consensus,
    now: Millis,
    members: &Members,
    desired: &DesiredMembership,
) -> Option<Step> {
    let learner = members.learners.iter().find(|learner| {
        is_caught_up(node, now, learner)
            && !desired.leaving.contains(&learner.name)
            && !members.voters.iter().any(|voter| voter.name == learner.name)
    })?;
    let responds = |voter: &&MemberId| node.silent_ms(now, voter) < VOTER_TIMEOUT_MS;
    let responding = members.voters.iter().filter(responds).count();
    let staying = members
        .voters
        .iter()
        .filter(responds)
        .filter(|voter| !desired.leaving.contains(&voter.name))
        .count();
    let voters_after = members.voters.len() + 1;
    let quorum_after = voters_after / 2 + 1;
    if staying >= desired.voters || responding + 1 < quorum_after {
        return None;
    }
    let mut members = members.clone();
    members.learners.retain(|other| other != learner);
    members.voters.push(learner.clone());
    Some(Step::Change(members))
}

/// Moves a voter to a zone with fewer, in three steps, each only while all voters respond: a
/// machine of the smaller zone becomes a learner, then a voter; then one of the larger is removed.
fn rebalance_zones(
    node: &Consensus,
    now: Millis,
    members: &Members,
    desired: &DesiredMembership,
) -> Option<Step> {
    let responds = |member: &MemberId| node.silent_ms(now, member) < VOTER_TIMEOUT_MS;
    if !members.voters.iter().all(responds) || !node.members_durably_committed() {
        return None;
    }
    let voter_to_replace =
        |by: &MemberId| desired.zones.voter_to_replace(&members.voters, by, node.id());
    if members.voters.len() > desired.voters {
        let removed = members.voters.iter().find_map(voter_to_replace)?;
        return Some(Step::Change(without(members, removed)));
    }
    if members.voters.len() < desired.voters {
        return None;
    }
    let may_vote = |learner: &&MemberId| {
        is_caught_up(node, now, learner) && !desired.leaving.contains(&learner.name)
    };
    let improves_balance = |member: &&MemberId| voter_to_replace(member).is_some();
    let mut changed = members.clone();
    if let Some(learner) = members.learners.iter().filter(may_vote).find(improves_balance) {
        changed.learners.retain(|other| other != learner);
        changed.voters.push(learner.clone());
        return Some(Step::Change(changed));
    }
    if !members.learners.is_empty() {
        return None;
    }
    let may_learn =
        |member: &&MemberId| may_join(members, desired, member) && improves_balance(member);
    let candidates = desired.joining.iter().filter(may_learn);
    changed.learners.push(desired.zones.candidate_of_smallest_zone(members, candidates)?.clone());
    Some(Step::Change(changed))
}

/// Removes a voter that does not respond: soon if others have taken its place, and later if nobody
/// is about to. One that returns joins again.
fn drop_unresponsive_voter(
    node: &Consensus,
    now: Millis,
    members: &Members,
    desired: &DesiredMembership,
) -> Option<Step> {
    let removed = members.voters.iter().max_by_key(|voter| node.silent_ms(now, voter))?;
    let is_replaced = members.voters.len() > desired.voters;
    let responds = |learner: &MemberId| node.silent_ms(now, learner) < VOTER_TIMEOUT_MS;
    let will_be_replaced = members.learners.iter().any(responds);
    let timeout = match is_replaced {
        true => VOTER_TIMEOUT_MS,
        false => DEPARTURE_TIMEOUT_MS,
    };
    let may_remove = is_replaced || !will_be_replaced && members.voters.len() > MIN_VOTERS;
    let is_silent = node.silent_ms(now, removed) >= timeout;
    (may_remove && is_silent).then(|| Step::Change(without(members, removed)))
}

/// Removes an unresponsive learner: each attempt to reach it may cost a copy of the state.
fn drop_unresponsive_learner(
    node: &Consensus,
    now: Millis,
    members: &Members,
    _: &DesiredMembership,
) -> Option<Step> {
    let is_unresponsive = |learner: &&MemberId| node.silent_ms(now, learner) >= LEARNER_TIMEOUT_MS;
    let removed = members.learners.iter().find(is_unresponsive)?;
    Some(Step::Change(without(members, removed)))
}

/// Removes a member that is being drained, once enough caught-up voters remain: as many as desired
/// if other machines can still take its place, since the loss of several may follow immediately.
fn remove_leaving(
    node: &Consensus,
    now: Millis,
    members: &Members,
    desired: &DesiredMembership,
) -> Option<Step> {
    let leaving = members.all().find(|member| desired.leaving.contains(&member.name))?;
    let others: Vec<&MemberId> = members
        .voters
        .iter()
        .filter(|voter| *voter != leaving && !desired.leaving.contains(&voter.name))
        // The removal commits only once a quorum of them has every entry before it.
        .filter(|voter| is_caught_up(node, now, voter) && node.is_responsive(now, voter))
        .collect();
    let can_replace = |member: &&MemberId| !desired.leaving.contains(&member.name);
    let learners = members.learners.iter().filter(can_replace);
    let has_replacement =
        learners.into_iter().any(|learner| node.silent_ms(now, learner) < VOTER_TIMEOUT_MS)
            || desired.joining.iter().any(|member| may_join(members, desired, member));
    let is_voter = members.voters.contains(leaving);
    let required = match has_replacement && is_voter {
        true => desired.voters,
        false => desired.voters.min(2),
    };
    if others.len() < required {
        return None;
    }
    if leaving == node.id() {
        let may_lead = |other: &&MemberId| node.may_transfer_to(now, other);
        let candidates: Vec<MemberId> = others.into_iter().filter(may_lead).cloned().collect();
        return (!candidates.is_empty()).then_some(Step::TransferLeadership(candidates));
    }
    Some(Step::Change(without(members, leaving)))
}
