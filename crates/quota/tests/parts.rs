//! Accountants, assignments and meters by themselves.

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

fn ask(limit: RateLimit, version: u64, tokens: u32) -> TokenRequest {
    TokenRequest { tenant: tenant(), part: Part(0), limit, version, tokens }
}

fn lease(generation: u64) -> Vec<SlotLease> {
    vec![SlotLease { slot: SlotId::of(&tenant(), Part(0)), generation }]
}

/// An accountant whose lease was asked for and given at the start.
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
fn a_lease_is_counted_from_when_it_was_asked_for() {
    let mut token_issuer = TokenIssuer::new(QuotaBounds::default());
    let answered_at = START.plus_millis(2_000);
    token_issuer.apply_leases(answered_at, START, &lease(1));
    let last = START.plus_millis(LEASE_MS - 1);
    assert_eq!(tokens(token_issuer.take(last, &ask(LIMIT, 1, 1))), 1);
    let end = START.plus_millis(LEASE_MS);
    assert_eq!(token_issuer.take(end, &ask(LIMIT, 1, 1)), TokenGrant::NotHeld);
    assert_eq!(token_issuer.held_slots(end), 0);
}

#[test]
fn a_new_lease_begins_with_one_token_and_fills_at_a_third_of_the_rate() {
    let mut token_issuer = token_issuer();
    assert_eq!(tokens(token_issuer.take(START, &ask(LIMIT, 1, 100))), 1);
    assert_eq!(tokens(token_issuer.take(START.plus_millis(1_000), &ask(LIMIT, 1, 100))), 10);
    // A bucket that is first asked for later has filled meanwhile: a third of the burst and four more.
    let mut late = self::token_issuer();
    assert_eq!(tokens(late.take(START.plus_millis(5_000), &ask(LIMIT, 1, 100))), 14);
}

#[test]
fn a_slot_that_was_elsewhere_meanwhile_begins_anew() {
    let mut token_issuer = token_issuer();
    let later = START.plus_millis(3_000);
    assert!(!token_issuer.apply_leases(later, later, &lease(1)), "the same slots");
    token_issuer.apply_leases(later, later, &[]);
    assert_eq!(token_issuer.take(later, &ask(LIMIT, 1, 1)), TokenGrant::NotHeld);
    token_issuer.apply_leases(later, later, &lease(3));
    assert_eq!(tokens(token_issuer.take(later, &ask(LIMIT, 1, 100))), 1);
}

#[test]
fn what_was_given_back_is_not_leased_by_an_answer_on_its_way() {
    let mut token_issuer = token_issuer();
    token_issuer.release();
    token_issuer.apply_leases(START, START, &lease(1));
    assert_eq!(token_issuer.take(START, &ask(LIMIT, 1, 1)), TokenGrant::NotHeld);
}

#[test]
fn a_gateway_that_is_behind_does_not_bring_back_a_limit() {
    let mut token_issuer = token_issuer();
    let low = RateLimit { per_1000_seconds: 3_000, burst: 0 };
    let later = START.plus_millis(4_000);
    tokens(token_issuer.take(later, &ask(low, 2, 1)));
    // Four tokens beyond the burst are the most that a part without a burst holds.
    let much_later = START.plus_millis(5_800);
    assert!(tokens(token_issuer.take(much_later, &ask(LIMIT, 1, 100))) <= 4);
    let later_still = much_later.plus_millis(150);
    assert_eq!(tokens(token_issuer.take(later_still, &ask(LIMIT, 1, 100))), 0, "one a second");
}

#[test]
fn a_refusal_tells_when_there_is_a_token() {
    let mut token_issuer = token_issuer();
    tokens(token_issuer.take(START, &ask(LIMIT, 1, 1)));
    let grant = token_issuer.take(START, &ask(LIMIT, 1, 1));
    let TokenGrant::Granted { tokens: 0, wait_ms } = grant else { panic!("{grant:?}") };
    assert_eq!(wait_ms, 100, "ten a second in this part");
    assert_eq!(tokens(token_issuer.take(START.plus_millis(wait_ms), &ask(LIMIT, 1, 1))), 1);
}

fn candidates(names: &[&str]) -> Vec<Candidate> {
    let zone = |number: usize| format!("hall-{}", number % 3);
    let candidate =
        |(number, name): (usize, &&str)| Candidate { name: (*name).to_owned(), zone: zone(number) };
    names.iter().enumerate().map(candidate).collect()
}

const SETTLED: Timestamp = Timestamp(10_000);

/// An assignment by an overseer that leads since long, with everybody's lease renewed.
fn assigned(names: &[&str]) -> (LeaseManager, Assignment) {
    let mut lease_manager = LeaseManager::new(Timestamp(0));
    let mut assignment = Assignment::default();
    let changes = lease_manager.plan(SETTLED, &assignment, &candidates(names), names[0]);
    assert_eq!(changes.len(), SlotId::all().count());
    assignment.assign(changes);
    for name in names {
        lease_manager.renew(SETTLED, &assignment, name);
    }
    (lease_manager, assignment)
}

#[test]
fn parts_of_one_limit_have_different_accountants_and_the_leader_has_none() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let (_, assignment) = assigned(&names);
    for slot in SlotId::all() {
        let holder = |part: u8| {
            let slot = SlotId { part: Part(part), ..slot };
            assignment.holder(slot).expect("an accountant").name.clone()
        };
        assert!(holder(0) != holder(1) && holder(1) != holder(2) && holder(0) != holder(2));
        assert!((0..3).all(|part| holder(part) != "a"), "a leads");
    }
}

#[test]
fn one_job_store_alone_takes_all_parts() {
    let (_, assignment) = assigned(&["a"]);
    assert_eq!(assignment.leases_of("a").len(), SlotId::all().count());
}

#[test]
fn a_slot_goes_to_another_when_its_lease_has_ended_and_not_before() {
    let names = ["a", "b", "c", "d", "e"];
    let (mut lease_manager, assignment) = assigned(&names);
    let rest = candidates(&["a", "c", "d", "e"]);
    let lost = assignment.leases_of("b").len();
    assert!(lost > 0);
    let ends = SETTLED.plus_millis(LEASE_MS);
    for name in ["c", "d", "e"] {
        lease_manager.renew(ends, &assignment, name);
    }
    assert!(lease_manager.plan(ends, &assignment, &rest, "a").is_empty());
    let over = ends.plus_millis(500);
    let changes = lease_manager.plan(over, &assignment, &rest, "a");
    assert_eq!(changes.len(), lost);
    // While that is on its way into the log, the one before gets no further lease.
    assert!(lease_manager.renew(over, &assignment, "b").is_empty());
    assert!(lease_manager.plan(over, &assignment, &rest, "a").is_empty(), "it is planned once");
}

#[test]
fn a_new_leader_waits_for_the_leases_of_the_one_before() {
    let (_, assignment) = assigned(&["a", "b", "c", "d", "e"]);
    let mut next = LeaseManager::new(SETTLED);
    let rest = candidates(&["a", "c", "d", "e"]);
    let within = SETTLED.plus_millis(LEASE_MS);
    assert!(next.plan(within, &assignment, &rest, "a").is_empty());
    // Whoever has slots keeps them at once.
    assert_eq!(next.renew(SETTLED, &assignment, "b"), assignment.leases_of("b"));
}

#[test]
fn slots_that_were_given_back_go_to_others_at_once() {
    let names = ["a", "b", "c", "d", "e"];
    let (mut lease_manager, assignment) = assigned(&names);
    lease_manager.mark_released("b");
    let changes = lease_manager.plan(SETTLED, &assignment, &candidates(&names), "a");
    assert_eq!(changes.len(), assignment.leases_of("b").len());
    assert!(changes.iter().all(|(_, name)| name != "b"));
}

#[test]
fn a_gateway_goes_on_to_other_parts_and_tells_spent_from_unknown() {
    let (_, assignment) = assigned(&["a", "b", "c", "d"]);
    let mut meter = IssuerSelector::new("edge-1".into());
    assert_eq!(meter.next_step(START, &tenant(), &[]), NextStep::Unknown);
    meter.set_assignment(assignment);
    let mut refused = Vec::new();
    for _ in 0..3 {
        let NextStep::Ask { part, .. } = meter.next_step(START, &tenant(), &refused) else {
            panic!("three parts");
        };
        assert!(refused.iter().all(|before: &PartRefusal| before.part != part));
        meter.mark_exhausted(START, &tenant(), part, 100);
        refused.push(PartRefusal { part, wait_ms: Some(100) });
    }
    let over = NextStep::OverLimit { wait_ms: 100 };
    assert_eq!(meter.next_step(START, &tenant(), &refused), over);
    // Until then nobody is asked again.
    assert_eq!(meter.next_step(START, &tenant(), &[]), over);
    let later = START.plus_millis(100);
    let NextStep::Ask { part, token_issuer } = meter.next_step(later, &tenant(), &[]) else {
        panic!("asked again");
    };
    meter.mark_unreachable(&token_issuer);
    let next = meter.next_step(later, &tenant(), &[PartRefusal { part, wait_ms: None }]);
    assert!(matches!(next, NextStep::Ask { part: other, .. } if other != part));
    assert_eq!(meter.unreachable().len(), 1);
    assert_eq!(meter.unreachable()[0], token_issuer);
    meter.mark_reachable(&token_issuer);
    assert!(meter.unreachable().is_empty());
}

#[test]
fn an_unanswered_part_is_no_spent_one() {
    let (_, assignment) = assigned(&["a", "b", "c", "d"]);
    let mut meter = IssuerSelector::new("edge-1".into());
    meter.set_assignment(assignment);
    let refused = [
        PartRefusal { part: Part(0), wait_ms: Some(50) },
        PartRefusal { part: Part(1), wait_ms: None },
        PartRefusal { part: Part(2), wait_ms: Some(70) },
    ];
    assert_eq!(meter.next_step(START, &tenant(), &refused), NextStep::Unknown);
}

#[test]
fn bounds_follow_what_operators_tolerate() {
    let bounds = QuotaBounds::default();
    assert_eq!(bounds.token_lifetime().as_millis(), 400);
    assert_eq!(bounds.extra_tokens(), 4);
    assert_eq!(bounds.most_in_window(LIMIT), 180.0 * 1.1 + 20.0);
}
