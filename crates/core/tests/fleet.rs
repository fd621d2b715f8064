//! Selection of the daemons that hold a request's record.

mod support;

use support::{header, member};
use yokefall_core::fleet::record_holders;
use yokefall_peer::MemberInfo;
use yokefall_types::{rendezvous_order, NodeName, RepeatPolicy};

fn members(count: usize, zones: usize) -> Vec<MemberInfo> {
    let zoned = |number| MemberInfo { zone: format!("zone-{}", number % zones), ..member(number) };
    (0..count).map(zoned).collect()
}

/// Reference: sorts all members, then moves the first one of another zone to second position.
fn full_order(id: &str, members: &[MemberInfo]) -> Vec<NodeName> {
    let request = header(id, RepeatPolicy::Allowed).request;
    let accepting: Vec<&MemberInfo> = members.iter().filter(|m| m.accepting).collect();
    let nodes = accepting.iter().map(|m| &m.node);
    let mut order: Vec<NodeName> =
        rendezvous_order(request.to_string().as_bytes(), nodes).into_iter().cloned().collect();
    let zone = |node: &NodeName| accepting.iter().find(|m| m.node == *node).map(|m| &m.zone);
    let home_zone = order.first().and_then(zone);
    if let Some(position) = order.iter().position(|node| zone(node) != home_zone) {
        let second = order.remove(position);
        order.insert(1, second);
    }
    order
}

#[test]
fn holders_are_a_prefix_of_the_full_order() {
    for (count, zones) in [(0, 1), (1, 1), (2, 1), (2, 2), (5, 2), (40, 3), (40, 1), (60, 30)] {
        let mut members = members(count, zones);
        for member in members.iter_mut().step_by(7).skip(1) {
            member.accepting = false;
        }
        for number in 0..200 {
            let id = format!("request-{number}");
            let holders = record_holders(&header(&id, RepeatPolicy::Allowed).request, &members);
            let expected = full_order(&id, &members);
            assert!(holders.len() >= expected.len().min(8));
            assert_eq!(holders[..], expected[..holders.len()]);
        }
    }
}

#[test]
fn a_member_of_another_zone_is_found_after_many_of_one_zone() {
    let mut members = members(60, 1);
    members[59].zone = "elsewhere".to_owned();
    for number in 0..50 {
        let request = header(&format!("request-{number}"), RepeatPolicy::Allowed).request;
        let holders = record_holders(&request, &members);
        assert!(holders[..2].contains(&members[59].node));
    }
}
