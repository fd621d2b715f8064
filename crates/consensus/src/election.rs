//! Elections: pre-votes and votes.

use crate::log::{Entry, Index, Term};
use crate::message::{Body, MemberId};
use crate::node::{Consensus, Millis, Role, ELECTION_TIMEOUT_MIN_MS};

/// The parameters of a vote request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidacy {
    /// Whether this is a pre-vote, for which nothing is recorded.
    pub pre_vote: bool,
    pub leadership_transfer: bool,
    pub last_index: Index,
    pub last_term: Term,
}

impl Consensus {
    /// Counts this member's own vote, which is valid once it is on disk: after a power loss a
    /// leader whose vote was not stored could lead in the same term again, with other entries.
    pub(crate) fn vote_is_durable(&mut self, now: Millis) {
        match self.pending_takeover.take() {
            Some(pair) => self.lead_as_sole_voter(now, pair),
            None => {
                self.votes.insert(self.me.clone());
                self.count_votes(now);
            }
        }
    }

    /// Starts an election; pre-votes first keep a partitioned member from increasing terms.
    pub(crate) fn campaign(&mut self, now: Millis, role: Role, leadership_transfer: bool) {
        self.schedule_election(now);
        self.role = role;
        self.leader = None;
        self.pending_takeover = None;
        self.votes.clear();
        let pre_vote = role == Role::Trial;
        if pre_vote {
            self.votes.insert(self.me.clone());
        } else {
            self.term += 1;
            self.voted_for = Some(self.me.clone());
            self.save_state();
        }
        let body = Body::Vote {
            pre_vote,
            leadership_transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = if pre_vote { self.term + 1 } else { self.term };
        for to in self.other_voters() {
            self.send_after_sync(to, term, body.clone());
        }
        self.count_votes(now);
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        self.electorate().voters.iter().filter(|voter| **voter != self.me).cloned().collect()
    }

    /// Counts only voters of the newest membership: a member with an empty disk elects no leader.
    fn count_votes(&mut self, now: Millis) {
        let members = self.electorate();
        let granted = members.voters.iter().filter(|voter| self.votes.contains(voter)).count();
        if granted < members.quorum() {
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
        self.finish_transfer(now, None);
        self.requested_change = None;
        self.proposed_change = None;
        self.pair_renewal_due = true;
        self.progress.clear();
        self.term_start = self.log.last_index() + 1;
        let payload = self.first_payload();
        let entry = Entry { index: self.term_start, term: self.term, payload };
        self.append_own(vec![entry]);
        self.follow_members(now);
        self.heartbeat(now);
    }

    /// Whether this member must not vote: the leader's lease relies on no votes within the minimum
    /// election timeout after its last message or, as a restart forgets that time, after a restart.
    pub(crate) fn withholds_votes(&self, now: Millis) -> bool {
        now < self.last_contact + ELECTION_TIMEOUT_MIN_MS
    }

    pub(crate) fn handle_vote_request(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        candidacy: Candidacy,
    ) {
        let Candidacy { pre_vote, leadership_transfer, last_index, last_term } = candidacy;
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let holds_lease = self.role == Role::Leader && self.has_lease(now);
        if (self.withholds_votes(now) || holds_lease) && !leadership_transfer {
            // The candidate gets no response and tries again; its term is not adopted.
            return;
        }
        if pre_vote {
            let granted = term > self.term && up_to_date;
            let reply_term = if granted { term } else { self.term };
            self.send_after_sync(from, reply_term, Body::VoteReply { pre_vote, granted });
            return;
        }
        if term > self.term {
            self.become_follower(now, term);
        }
        let may_vote_for = self.voted_for.as_ref().is_none_or(|voted| *voted == from);
        let granted =
            term == self.term && up_to_date && may_vote_for && self.role == Role::Follower;
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from.clone());
            self.save_state();
        }
        if granted {
            self.schedule_election(now);
        }
        self.send_after_sync(from, self.term, Body::VoteReply { pre_vote, granted });
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now: Millis,
        from: MemberId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        let expected = if pre_vote { self.term + 1 } else { self.term };
        if !granted {
            if term > self.term {
                self.become_follower(now, term);
            }
            return;
        }
        let expected_role = if pre_vote { Role::Trial } else { Role::Candidate };
        if term == expected && self.role == expected_role {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }
}
