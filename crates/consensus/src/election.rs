//! Elections: trials and votes, and going on alone after the other of a pair.

use crate::log::{Entry, Index, Payload, Term};
use crate::message::{Body, MemberId, Members};
use crate::node::{Consensus, Millis, Pair, Role, ELECTION_MIN_MS};

/// What a candidate says of its log and its reasons.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidacy {
    /// Whether nothing is to be recorded yet.
    pub trial: bool,
    /// Whether the leader itself asked for the election.
    pub handed_over: bool,
    /// Last entry.
    pub last_index: Index,
    /// Its term.
    pub last_term: Term,
}

impl Consensus {
    /// The pair that this member belongs to, where the group has just two voters.
    ///
    /// Neither of a pair can go on without the other: there is no quorum. Each holds everything
    /// that was committed, though, so either may go on alone as long as the other never does. A
    /// claim on the pair, recorded once outside the group, decides which: see `become_sole_voter`.
    pub fn pair(&self) -> Option<Pair> {
        let members = self.members();
        let is_pair = members.voters.len() == 2 && members.voters.contains(&self.me);
        // Newer entries may tell of other learners; members that were never committed are no pair.
        let committed_members_index =
            self.members_at(self.committed_members_index).epoch == members.epoch;
        (is_pair && committed_members_index).then_some(Pair { epoch: members.epoch })
    }

    /// Goes on alone after the other of a pair. The caller must hold the claim on the pair, and the
    /// members must not be changed from a pair by anyone without it.
    pub fn become_sole_voter(&mut self, now: Millis, pair: Pair) -> bool {
        if self.pair() != Some(pair) {
            return false;
        }
        self.become_follower(now, self.term + 1);
        self.role = Role::Candidate;
        self.voted_for = Some(self.me.clone());
        self.save_state();
        self.alone = Some(pair);
        true
    }

    fn lead_alone(&mut self, now: Millis, pair: Pair) {
        if self.pair() != Some(pair) {
            return;
        }
        let learners = self.members().learners.clone();
        let epoch = pair.epoch + 1;
        self.become_leader(now);
        let voters = vec![self.me.clone()];
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload: Payload::Members(Members { voters, learners, epoch }),
        };
        self.append_own(vec![entry]);
        self.follow_members(now);
        self.heartbeat(now);
    }

    /// This member's own vote counts once it is on the disk. One that led before could, after a loss
    /// of power, lead in the same term again, with other entries.
    pub(crate) fn vote_is_durable(&mut self, now: Millis) {
        match self.alone.take() {
            Some(pair) => self.lead_alone(now, pair),
            None => {
                self.votes.insert(self.me.clone());
                self.count_votes(now);
            }
        }
    }

    /// Asks for votes; as a trial first, so that a member that was cut off does not raise terms.
    pub(crate) fn campaign(&mut self, now: Millis, role: Role, handed_over: bool) {
        self.schedule_election(now);
        self.role = role;
        self.leader = None;
        self.alone = None;
        self.votes.clear();
        let trial = role == Role::Trial;
        if trial {
            self.votes.insert(self.me.clone());
        } else {
            self.term += 1;
            self.voted_for = Some(self.me.clone());
            self.save_state();
        }
        let body = Body::Vote {
            trial,
            handed_over,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = if trial { self.term + 1 } else { self.term };
        for to in self.other_voters() {
            self.send_after_sync(to, term, body.clone());
        }
        self.count_votes(now);
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        self.members().voters.iter().filter(|voter| **voter != self.me).cloned().collect()
    }

    /// Only the votes of voters count, by the newest members that this log tells: a disk that is
    /// not among them, such as an empty one, elects nobody.
    fn count_votes(&mut self, now: Millis) {
        let members = self.members();
        let given = members.voters.iter().filter(|voter| self.votes.contains(voter)).count();
        if given < members.quorum() {
            return;
        }
        match self.role {
            Role::Trial => self.campaign(now, Role::Candidate, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(crate) fn become_leader(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.handing_over = false;
        self.progress.clear();
        self.term_start = self.log.last_index() + 1;
        let entry = Entry { index: self.term_start, term: self.term, payload: Payload::Empty };
        self.append_own(vec![entry]);
        self.follow_members(now);
        self.heartbeat(now);
    }

    /// Within this time of a leader's sign of life, or of the member's start, no vote is given: a
    /// leader's lease rests on it. A member that started does not know whom it heard before.
    pub(crate) fn is_loyal(&self, now: Millis) -> bool {
        now < self.heard_at + ELECTION_MIN_MS
    }

    pub(crate) fn answer_vote(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        candidacy: Candidacy,
    ) {
        let Candidacy { trial, handed_over, last_index, last_term } = candidacy;
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let leads = self.role == Role::Leader && self.has_lease(now);
        if (self.is_loyal(now) || leads) && !handed_over {
            // Without an answer the candidate tries again; its term is not taken over.
            return;
        }
        if trial {
            let granted = term > self.term && up_to_date;
            let told = if granted { term } else { self.term };
            self.send_after_sync(from, told, Body::VoteReply { trial, granted });
            return;
        }
        if term > self.term {
            self.become_follower(now, term);
        }
        let free = self.voted_for.as_ref().is_none_or(|voted| *voted == from);
        let granted = term == self.term && up_to_date && free && self.role == Role::Follower;
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from.clone());
            self.save_state();
        }
        if granted {
            self.schedule_election(now);
        }
        self.send_after_sync(from, self.term, Body::VoteReply { trial, granted });
    }

    pub(crate) fn take_vote(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        trial: bool,
        granted: bool,
    ) {
        let expected = if trial { self.term + 1 } else { self.term };
        if !granted {
            if term > self.term {
                self.become_follower(now, term);
            }
            return;
        }
        let asked = if trial { Role::Trial } else { Role::Candidate };
        if term == expected && self.role == asked {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }
}
