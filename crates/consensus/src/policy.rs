//! Which members the group should have: decided by the leader from who asks to join, who answers
//! and who is to be emptied.

use crate::message::{MemberId, Members};
use crate::node::{Consensus, Millis, Role};
use crate::replication::Difference;
use crate::spread::Zones;

/// Time without an answer after which a voter gives way to a member that waits, in milliseconds.
const SILENCE_MS: Millis = 2_500;
/// Time without the other of a pair after which one goes on alone, in milliseconds.
const PAIR_SILENCE_MS: Millis = 6_000;
/// The same where the other one's disk is known to be lost.
const LOST_SILENCE_MS: Millis = 1_200;
/// Time without an answer after which a learner is dropped, in milliseconds; it may ask again.
const LEARNER_SILENCE_MS: Millis = 5_000;
/// Entries that a learner may lack when it becomes a voter.
const CAUGHT_UP_ENTRIES: u64 = 64;

/// What the leader hears from outside the log.
#[derive(Clone, Debug, Default)]
pub struct DesiredMembership {
    /// Members that ask to join.
    pub joining: Vec<MemberId>,
    /// Names of members that are to be emptied.
    pub leaving: Vec<String>,
    /// Voters wanted.
    pub voters: usize,
    /// Zones of machines.
    pub zones: Zones,
}

/// What the leader should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Idle,
    /// Propose these members.
    Change(Members),
    /// Ask another voter to lead.
    TransferLeadership(MemberId),
}

/// The next step. One voter changes at a time, and a place is filled before another one is given
/// up, so that the group is a pair only where there are no more than two machines for it.
pub fn next_step(node: &Consensus, now: Millis, wishes: &DesiredMembership) -> Step {
    let members = node.members();
    let step = admit(node, now, members, wishes)
        .or_else(|| replace_lost(node, now, members))
        .or_else(|| promote(node, now, members, wishes))
        .or_else(|| release(node, now, members, wishes))
        .or_else(|| drop_silent(node, now, members, wishes))
        .or_else(|| drop_silent_learner(node, now, members))
        .or_else(|| spread(node, now, members, wishes));
    step.unwrap_or(Step::Idle)
}

/// Whether a step changes who votes in a pair, other than by a successor of a lost disk. Such a step
/// needs the claim on the pair: the other one may have gone on alone, or may try to.
pub fn needs_claim(node: &Consensus, members: &Members) -> bool {
    let difference = node.difference(members);
    node.members().voters.len() == 2 && difference == Difference::One
}

/// Whether a member of a pair should try to go on alone: soon where the other one asks to join with
/// an empty disk, and after a time longer than cuts usually last where it is silent.
pub fn should_become_sole_voter(node: &Consensus, now: Millis, joining: &[MemberId]) -> bool {
    if node.role() == Role::Leader || node.pair().is_none() {
        return false;
    }
    let is_lost = |voter: &MemberId| {
        joining.iter().any(|member| member.name == voter.name && member != voter)
    };
    let lost = node.members().voters.iter().any(|voter| voter != node.id() && is_lost(voter));
    let patience = if lost { LOST_SILENCE_MS } else { PAIR_SILENCE_MS };
    node.leaderless_ms(now) >= patience
}

fn is_caught_up(node: &Consensus, now: Millis, member: &MemberId) -> bool {
    node.matched(member) + CAUGHT_UP_ENTRIES >= node.log().last_index()
        && node.silent_ms(now, member) < SILENCE_MS
}

/// Puts a learner that has caught up in the place of the voter of the same name. That it answers
/// proves that the other disk is gone: a machine runs one process, which opened an empty disk.
fn replace_lost(node: &Consensus, now: Millis, members: &Members) -> Option<Step> {
    let succeeds = |learner: &&MemberId| {
        members.voters.iter().any(|voter| voter.name == learner.name)
            && node.matched(learner) > 0
            && is_caught_up(node, now, learner)
    };
    let learner = members.learners.iter().find(succeeds)?;
    let mut members = members.clone();
    members.learners.retain(|held| held != learner);
    members.voters.retain(|voter| voter.name != learner.name);
    members.voters.push(learner.clone());
    Some(Step::Change(members))
}

fn without(members: &Members, member: &MemberId) -> Members {
    let keep = |list: &[MemberId]| list.iter().filter(|held| *held != member).cloned().collect();
    Members {
        voters: keep(&members.voters),
        learners: keep(&members.learners),
        epoch: members.epoch,
    }
}

/// Whether a member that asks may belong to the group at all.
fn may_join(members: &Members, wishes: &DesiredMembership, member: &MemberId) -> bool {
    !members.contains(member) && !wishes.leaving.contains(&member.name)
}

/// Lets a member that asks begin to learn, where the group has or is about to have too few voters.
/// The others stand by with nothing: each member costs the leader the whole log. One whose name the
/// group knows has a new disk in the place of a lost one, and is always admitted.
fn admit(
    node: &Consensus,
    now: Millis,
    members: &Members,
    wishes: &DesiredMembership,
) -> Option<Step> {
    let stays = |member: &&MemberId| {
        node.silent_ms(now, member) < SILENCE_MS && !wishes.leaving.contains(&member.name)
    };
    let staying = members.all().filter(stays).count();
    let wanted = |member: &&MemberId| {
        let known = members.all().any(|held| held.name == member.name);
        may_join(members, wishes, member) && (known || staying < wishes.voters)
    };
    let joining = wishes.zones.least_crowded(members, wishes.joining.iter().filter(wanted))?;
    let mut members = members.clone();
    members.learners.retain(|learner| learner.name != joining.name);
    members.learners.push(joining.clone());
    Some(Step::Change(members))
}

/// Makes a learner that has caught up a voter, where a place is free, or is about to be: one that a
/// silent or leaving voter still holds. Everyone else must answer, or the change could not commit.
fn promote(
    node: &Consensus,
    now: Millis,
    members: &Members,
    wishes: &DesiredMembership,
) -> Option<Step> {
    let learner = members.learners.iter().find(|learner| {
        is_caught_up(node, now, learner)
            && !wishes.leaving.contains(&learner.name)
            && !members.voters.iter().any(|voter| voter.name == learner.name)
    })?;
    let answers = |voter: &&MemberId| node.silent_ms(now, voter) < SILENCE_MS;
    let answering = members.voters.iter().filter(answers).count();
    let staying = members
        .voters
        .iter()
        .filter(answers)
        .filter(|voter| !wishes.leaving.contains(&voter.name))
        .count();
    let voters_after = members.voters.len() + 1;
    let quorum_after = voters_after / 2 + 1;
    if staying >= wishes.voters || answering + 1 < quorum_after {
        return None;
    }
    let mut members = members.clone();
    members.learners.retain(|held| held != learner);
    members.voters.push(learner.clone());
    Some(Step::Change(members))
}

/// Moves a voter from a crowded zone to one with fewer, in three steps, each only while all voters answer: a
/// machine of that zone learns, then votes, then the one in the crowded zone goes.
fn spread(
    node: &Consensus,
    now: Millis,
    members: &Members,
    wishes: &DesiredMembership,
) -> Option<Step> {
    let answers = |member: &MemberId| node.silent_ms(now, member) < SILENCE_MS;
    if !members.voters.iter().all(answers) || !node.members_durably_committed() {
        return None;
    }
    let crowded_out = |by: &MemberId| wishes.zones.crowded_out(&members.voters, by, node.id());
    if members.voters.len() > wishes.voters {
        let gone = members.voters.iter().find_map(crowded_out)?;
        return Some(Step::Change(without(members, gone)));
    }
    if members.voters.len() < wishes.voters {
        return None;
    }
    let may_vote = |learner: &&MemberId| {
        is_caught_up(node, now, learner) && !wishes.leaving.contains(&learner.name)
    };
    let moves = |member: &&MemberId| crowded_out(member).is_some();
    let mut changed = members.clone();
    if let Some(learner) = members.learners.iter().filter(may_vote).find(moves) {
        changed.learners.retain(|held| held != learner);
        changed.voters.push(learner.clone());
        return Some(Step::Change(changed));
    }
    if !members.learners.is_empty() {
        return None;
    }
    let may_learn = |member: &&MemberId| may_join(members, wishes, member) && moves(member);
    let asking = wishes.joining.iter().filter(may_learn);
    changed.learners.push(wishes.zones.least_crowded(members, asking)?.clone());
    Some(Step::Change(changed))
}

/// Removes a silent voter where others have taken its place.
fn drop_silent(
    node: &Consensus,
    now: Millis,
    members: &Members,
    wishes: &DesiredMembership,
) -> Option<Step> {
    let silent = |voter: &&MemberId| node.silent_ms(now, voter) >= SILENCE_MS;
    let gone = members.voters.iter().find(silent)?;
    (members.voters.len() > wishes.voters).then(|| Step::Change(without(members, gone)))
}

/// Removes a learner that has been silent for long: each look at it costs the whole state.
fn drop_silent_learner(node: &Consensus, now: Millis, members: &Members) -> Option<Step> {
    let silent = |learner: &&MemberId| node.silent_ms(now, learner) >= LEARNER_SILENCE_MS;
    let gone = members.learners.iter().find(silent)?;
    Some(Step::Change(without(members, gone)))
}

/// Removes a member that is to be emptied, once enough others vote and have everything: as many as
/// are wanted, where other machines could still fill its place, since the loss of several may follow
/// at once.
fn release(
    node: &Consensus,
    now: Millis,
    members: &Members,
    wishes: &DesiredMembership,
) -> Option<Step> {
    let leaving = members.all().find(|member| wishes.leaving.contains(&member.name))?;
    let others: Vec<&MemberId> = members
        .voters
        .iter()
        .filter(|voter| *voter != leaving && !wishes.leaving.contains(&voter.name))
        // The removal commits only once a quorum of them has every entry before it.
        .filter(|voter| is_caught_up(node, now, voter))
        .collect();
    let can_fill = |member: &&MemberId| !wishes.leaving.contains(&member.name);
    let learners = members.learners.iter().filter(can_fill);
    let successor = learners.into_iter().any(|learner| node.silent_ms(now, learner) < SILENCE_MS)
        || wishes.joining.iter().any(|member| may_join(members, wishes, member));
    let is_voter = members.voters.contains(leaving);
    let enough = match successor && is_voter {
        true => wishes.voters,
        false => wishes.voters.min(2),
    };
    if others.len() < enough {
        return None;
    }
    if leaving == node.id() {
        // The lead can go only to one that has everything.
        let nearest = others.iter().max_by_key(|other| node.matched(other));
        return nearest.map(|other| Step::TransferLeadership((*other).clone()));
    }
    Some(Step::Change(without(members, leaving)))
}
