//! Token issuers, assignments and issuer selectors in isolation.

use yokefall_core::Timestamp;
use yokefall_quota::token_issuer::LEASE_MS;
use yokefall_quota::{
    Assignment, Candidate, IssuerSelector, LeaseManager, NextStep, Part, PartRefusal, QuotaBounds,
    SlotId, SlotLease, TokenGrant, TokenIssuer, TokenRequest,
};
use yokefall_types::{RateLimit, TenantName};

const LIMIT: RateLimit = RateLimit { per_1000_seconds: 30_000, burst: 30 };
const START: Timestamp = Timestamp(1_000);

fn tenant() -> TenantName {
    TenantName::new("tenant-1")
}

fn token_request(limit: RateLimit, version: u64, tokens: u32) -> TokenRequest {
    TokenRequest { tenant: tenant(), part: Part(0), limit, version, tokens }
}

fn lease(generation: u64) -> Vec<SlotLease> {
    vec![SlotLease { slot: SlotId::of(&tenant(), Part(0)), generation }]
}

fn token_issuer() -> TokenIssuer {
    let mut token_issuer = TokenIssuer::new(QuotaBounds::default());
    assert!(token_issuer.apply_leases(START, START, &lease(1)));
    token_issuer
}

fn tokens(grant: TokenGrant) -> u32 {
    match grant {
        TokenGrant::Granted { tokens, .. } => tokens,
        TokenGrant::NotHeld => panic!("not held"),
    }
}

#[test]
fn a_lease_is_counted_from_its_request() {
    let mut token_issuer = TokenIssuer::new(QuotaBounds::default());
    let answered_at = START.plus_millis(2_000);
    token_issuer.apply_leases(answered_at, START, &lease(1));
    let last = START.plus_millis(LEASE_MS - 1);
    assert_eq!(tokens(token_issuer.take(last, &token_request(LIMIT, 1, 1))), 1);
    let end = START.plus_millis(LEASE_MS);
    assert_eq!(token_issuer.take(end, &token_request(LIMIT, 1, 1)), TokenGrant::NotHeld);
    assert_eq!(token_issuer.held_slots(end), 0);
}

#[test]
fn a_new_lease_starts_with_one_token_and_fills_at_a_third_of_the_rate() {
    let mut token_issuer = token_issuer();
    assert_eq!(tokens(token_issuer.take(START, &token_request(LIMIT, 1, 100))), 1);
    assert_eq!(
        tokens(token_issuer.take(START.plus_millis(1_000), &token_request(LIMIT, 1, 100))),
        10
    );
    // A bucket first used later has filled since the lease: a third of the burst and four more.
    let mut first_used_later = self::token_issuer();
    assert_eq!(
        tokens(first_used_later.take(START.plus_millis(5_000), &token_request(LIMIT, 1, 100))),
        14
    );
}

#[test]
fn a_slot_that_moved_away_and_back_starts_empty() {
    let mut token_issuer = token_issuer();
    let later = START.plus_millis(3_000);
    assert!(!token_issuer.apply_leases(later, later, &lease(1)), "the same slots");
    token_issuer.apply_leases(later, later, &[]);
    assert_eq!(token_issuer.take(later, &token_request(LIMIT, 1, 1)), TokenGrant::NotHeld);
    token_issuer.apply_leases(later, later, &lease(3));
    assert_eq!(tokens(token_issuer.take(later, &token_request(LIMIT, 1, 100))), 1);
}

#[test]
fn a_response_in_transit_does_not_lease_released_slots() {
    let mut token_issuer = token_issuer();
    token_issuer.release();
    token_issuer.apply_leases(START, START, &lease(1));
    assert_eq!(token_issuer.take(START, &token_request(LIMIT, 1, 1)), TokenGrant::NotHeld);
}

#[test]
fn a_gateway_with_an_old_configuration_does_not_restore_a_limit() {
    let mut token_issuer = token_issuer();
    let low = RateLimit { per_1000_seconds: 3_000, burst: 0 };
    let later = START.plus_millis(4_000);
    tokens(token_issuer.take(later, &token_request(low, 2, 1)));
    // A part without a burst holds at most four tokens.
    let much_later = START.plus_millis(5_800);
    assert!(tokens(token_issuer.take(much_later, &token_request(LIMIT, 1, 100))) <= 4);
    let later_still = much_later.plus_millis(150);
    assert_eq!(
        tokens(token_issuer.take(later_still, &token_request(LIMIT, 1, 100))),
        0,
        "one per second"
    );
}

#[test]
fn a_rejection_states_when_a_token_is_available() {
    let mut token_issuer = token_issuer();
    tokens(token_issuer.take(START, &token_request(LIMIT, 1, 1)));
    let grant = token_issuer.take(START, &token_request(LIMIT, 1, 1));
    let TokenGrant::Granted { tokens: 0, wait_ms } = grant else { panic!("{grant:?}") };
    assert_eq!(wait_ms, 100, "ten per second in this part");
    assert_eq!(
        tokens(token_issuer.take(START.plus_millis(wait_ms), &token_request(LIMIT, 1, 1))),
        1
    );
}

fn candidates(names: &[&str]) -> Vec<Candidate> {
    let zone = |number: usize| format!("hall-{}", number % 3);
    let candidate =
        |(number, name): (usize, &&str)| Candidate { name: (*name).to_owned(), zone: zone(number) };
    names.iter().enumerate().map(candidate).collect()
}

const ASSIGNED_AT: Timestamp = Timestamp(10_000);

/// An assignment by a leader of long standing, with all leases renewed.
fn assigned(names: &[&str]) -> (LeaseManager, Assignment) {
    let mut lease_manager = LeaseManager::new(Timestamp(0));
    let mut assignment = Assignment::default();
    let changes = lease_manager.plan(ASSIGNED_AT, &assignment, &candidates(names), names[0]);
    assert_eq!(changes.len(), SlotId::all().count());
    assignment.assign(changes);
    for name in names {
        lease_manager.renew(ASSIGNED_AT, &assignment, name);
    }
    (lease_manager, assignment)
}

#[test]
fn parts_of_one_limit_have_different_issuers_and_the_leader_has_none() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let (_, assignment) = assigned(&names);
    for slot in SlotId::all() {
        let holder = |part: u8| {
            let slot = SlotId { part: Part(part), ..slot };
            assignment.holder(slot).expect("an issuer").name.clone()
        };
        assert!(holder(0) != holder(1) && holder(1) != holder(2) && holder(0) != holder(2));
        assert!((0..3).all(|part| holder(part) != "a"), "a is the leader");
    }
}

#[test]
fn one_job_store_alone_takes_all_parts() {
    let (_, assignment) = assigned(&["a"]);
    assert_eq!(assignment.leases_of("a").len(), SlotId::all().count());
}

#[test]
fn a_slot_is_reassigned_when_its_lease_has_expired_and_not_before() {
    let names = ["a", "b", "c", "d", "e"];
    let (mut lease_manager, assignment) = assigned(&names);
    let rest = candidates(&["a", "c", "d", "e"]);
    let lost = assignment.leases_of("b").len();
    assert!(lost > 0);
    let lease_end = ASSIGNED_AT.plus_millis(LEASE_MS);
    for name in ["c", "d", "e"] {
        lease_manager.renew(lease_end, &assignment, name);
    }
    assert!(lease_manager.plan(lease_end, &assignment, &rest, "a").is_empty());
    let after_expiry = lease_end.plus_millis(500);
    let changes = lease_manager.plan(after_expiry, &assignment, &rest, "a");
    assert_eq!(changes.len(), lost);
    // While the change is being replicated, the previous issuer gets no further lease.
    assert!(lease_manager.renew(after_expiry, &assignment, "b").is_empty());
    assert!(
        lease_manager.plan(after_expiry, &assignment, &rest, "a").is_empty(),
        "it is planned twice"
    );
}

#[test]
fn a_new_leader_waits_for_the_leases_of_the_previous_one() {
    let (_, assignment) = assigned(&["a", "b", "c", "d", "e"]);
    let mut next = LeaseManager::new(ASSIGNED_AT);
    let rest = candidates(&["a", "c", "d", "e"]);
    let within = ASSIGNED_AT.plus_millis(LEASE_MS);
    assert!(next.plan(within, &assignment, &rest, "a").is_empty());
    // Current holders of slots keep them.
    assert_eq!(next.renew(ASSIGNED_AT, &assignment, "b"), assignment.leases_of("b"));
}

#[test]
fn released_slots_are_reassigned_immediately() {
    let names = ["a", "b", "c", "d", "e"];
    let (mut lease_manager, assignment) = assigned(&names);
    lease_manager.mark_released("b");
    let changes = lease_manager.plan(ASSIGNED_AT, &assignment, &candidates(&names), "a");
    assert_eq!(changes.len(), assignment.leases_of("b").len());
    assert!(changes.iter().all(|(_, name)| name != "b"));
}

#[test]
fn a_gateway_tries_other_parts_and_distinguishes_exhausted_from_unknown() {
    let (_, assignment) = assigned(&["a", "b", "c", "d"]);
    let mut selector = IssuerSelector::new("edge-1".into());
    assert_eq!(selector.next_step(START, &tenant(), &[]), NextStep::Unknown);
    selector.set_assignment(assignment);
    let mut refused = Vec::new();
    for _ in 0..3 {
        let NextStep::Ask { part, .. } = selector.next_step(START, &tenant(), &refused) else {
            panic!("three parts");
        };
        assert!(refused.iter().all(|before: &PartRefusal| before.part != part));
        selector.mark_exhausted(START, &tenant(), part, 100);
        refused.push(PartRefusal { part, wait_ms: Some(100) });
    }
    let over_limit = NextStep::OverLimit { wait_ms: 100 };
    assert_eq!(selector.next_step(START, &tenant(), &refused), over_limit);
    // Until then no issuer is asked again.
    assert_eq!(selector.next_step(START, &tenant(), &[]), over_limit);
    let later = START.plus_millis(100);
    let NextStep::Ask { part, token_issuer } = selector.next_step(later, &tenant(), &[]) else {
        panic!("expected a token request");
    };
    selector.mark_unreachable(&token_issuer);
    let next = selector.next_step(later, &tenant(), &[PartRefusal { part, wait_ms: None }]);
    assert!(matches!(next, NextStep::Ask { part: other, .. } if other != part));
    assert_eq!(selector.unreachable().len(), 1);
    assert_eq!(selector.unreachable()[0], token_issuer);
    selector.mark_reachable(&token_issuer);
    assert!(selector.unreachable().is_empty());
}

#[test]
fn an_unreachable_part_is_not_an_exhausted_one() {
    let (_, assignment) = assigned(&["a", "b", "c", "d"]);
    let mut selector = IssuerSelector::new("edge-1".into());
    selector.set_assignment(assignment);
    let refused = [
        PartRefusal { part: Part(0), wait_ms: Some(50) },
        PartRefusal { part: Part(1), wait_ms: None },
        PartRefusal { part: Part(2), wait_ms: Some(70) },
    ];
    assert_eq!(selector.next_step(START, &tenant(), &refused), NextStep::Unknown);
}

#[test]
fn token_parameters_follow_from_the_tolerance() {
    let bounds = QuotaBounds::default();
    assert_eq!(bounds.token_lifetime().as_millis(), 400);
    assert_eq!(bounds.extra_tokens(), 4);
    assert_eq!(bounds.max_requests_in_window(LIMIT), 180.0 * 1.1 + 20.0);
}
