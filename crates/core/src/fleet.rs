//! One daemon's view of the fleet: members, services and the owners of back ends.

use std::collections::{BTreeMap, HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64;
use yokefall_peer::MemberInfo;
use yokefall_types::{
    rendezvous_order, rendezvous_score, BackendId, BackendSpec, Declaration, Kind, NodeName,
    RequestId, ServiceId, ServiceSpec,
};

use crate::configuration::ConfigurationStore;

/// Maximum number of holders computed per record; no caller tries more.
const MAX_HOLDERS: usize = 8;

/// A back end owned by this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedBackend {
    /// The back end.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceId,
    /// Its HTTP address, `IP:PORT`.
    pub address: String,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// An owner of back ends of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerView {
    /// The owner.
    pub node: NodeName,
    /// The owner's zone.
    pub zone: String,
    /// Slots of its back ends that accept new work.
    pub slots: u32,
}

/// A service and its owners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Its declaration.
    pub spec: ServiceSpec,
    /// Owners with at least one slot.
    pub owners: Vec<OwnerView>,
}

/// An immutable snapshot, rebuilt when membership or configuration changes.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// This daemon.
    pub node: NodeName,
    /// This daemon's zone.
    pub zone: String,
    /// Members considered alive, including this daemon, in order of name.
    pub members: Vec<MemberInfo>,
    /// Order-independent digest of the members. Equal lists have equal digests; never zero.
    pub members_digest: u64,
    /// Services by id.
    pub services: HashMap<ServiceId, ServiceView>,
    /// Back ends owned by this daemon.
    pub owned: Vec<OwnedBackend>,
    /// The owner of every back end.
    pub owners: BTreeMap<BackendId, NodeName>,
    /// Machines that must not get new work.
    pub leaving_machines: HashSet<String>,
}

impl FleetView {
    /// Creates a view without members and configuration.
    pub fn empty(node: NodeName, zone: String) -> Self {
        Self {
            node,
            zone,
            members: Vec::new(),
            members_digest: 1,
            services: HashMap::new(),
            owned: Vec::new(),
            owners: BTreeMap::new(),
            leaving_machines: HashSet::new(),
        }
    }

    /// Builds the view of `node`.
    pub fn build(
        node: &NodeName,
        zone: &str,
        members: Vec<MemberInfo>,
        configuration: &ConfigurationStore,
    ) -> Self {
        let mut view = Self::empty(node.clone(), zone.to_owned());
        view.members_digest = digest_of(&members);
        view.members = members;
        for (key, declaration) in configuration.live(Kind::Service) {
            if let Declaration::Service(spec) = declaration {
                let id = ServiceId { partner: key.partner.clone(), name: key.name.as_str().into() };
                view.services.insert(id, ServiceView { spec: spec.clone(), owners: Vec::new() });
            }
        }
        view.leaving_machines = leaving_machines(configuration);
        for (key, declaration) in configuration.live(Kind::Backend) {
            if let Declaration::Backend(spec) = declaration {
                let id = BackendId { partner: key.partner.clone(), name: key.name.as_str().into() };
                let leaving = view.leaving_machines.contains(&spec.machine);
                view.place_backend(id, spec, leaving);
            }
        }
        view
    }

    fn place_backend(&mut self, id: BackendId, spec: &BackendSpec, leaving: bool) {
        let Some(owner) = self.owner_of(&id, &spec.zone).cloned() else { return };
        let service = ServiceId { partner: id.partner.clone(), name: spec.service.clone() };
        if let Some(view) = self.services.get_mut(&service).filter(|_| !leaving) {
            add_slots(&mut view.owners, &owner, spec.slots);
        }
        if owner.node == self.node {
            self.owned.push(OwnedBackend {
                id: id.clone(),
                service,
                address: spec.address.clone(),
                slots: spec.slots,
                leaving,
            });
        }
        self.owners.insert(id, owner.node);
    }

    /// The owner of a back end: the first in rendezvous order among the accepting members of its
    /// zone, or among all accepting members if the zone has none.
    fn owner_of(&self, id: &BackendId, zone: &str) -> Option<&MemberInfo> {
        let accepting = || self.members.iter().filter(|member| member.accepting);
        let in_zone: Vec<&NodeName> =
            accepting().filter(|member| member.zone == zone).map(|member| &member.node).collect();
        let candidates =
            if in_zone.is_empty() { accepting().map(|m| &m.node).collect() } else { in_zone };
        let first = *rendezvous_order(id.to_string().as_bytes(), candidates).first()?;
        self.member(first)
    }

    /// The member with this name, if it is considered alive.
    pub fn member(&self, node: &NodeName) -> Option<&MemberInfo> {
        self.members.iter().find(|member| member.node == *node)
    }
}

fn digest_of(members: &[MemberInfo]) -> u64 {
    let hash = |member: &MemberInfo| {
        let text = format!(
            "{} {} {} {} {} {} {}",
            member.node,
            member.incarnation,
            member.address,
            member.zone,
            member.region,
            member.data,
            member.accepting
        );
        xxh3_64(text.as_bytes())
    };
    members.iter().map(hash).fold(0, u64::wrapping_add).max(1)
}

fn add_slots(owners: &mut Vec<OwnerView>, owner: &MemberInfo, slots: u32) {
    match owners.iter_mut().find(|view| view.node == owner.node) {
        Some(view) => view.slots += slots,
        None => {
            owners.push(OwnerView { node: owner.node.clone(), zone: owner.zone.clone(), slots })
        }
    }
}

fn leaving_machines(configuration: &ConfigurationStore) -> HashSet<String> {
    let leaving = |declaration: &Declaration| match declaration {
        Declaration::Machine(spec) => spec.leaving,
        _ => false,
    };
    configuration
        .live(Kind::Machine)
        .filter(|(_, declaration)| leaving(declaration))
        .map(|(key, _)| key.name.clone())
        .collect()
}

/// The daemons that hold a request's record, in order of preference: the home daemon, then the
/// holder of the first copy, which is in another zone if there is one, then the others. Returns at
/// most `MAX_HOLDERS`, since this runs for every call and need not sort the whole fleet.
pub fn record_holders(request: &RequestId, members: &[MemberInfo]) -> Vec<NodeName> {
    let score = rendezvous_score(request.to_string().as_bytes());
    let accepting = members.iter().filter(|member| member.accepting);
    let mut scored: Vec<(u64, &MemberInfo)> =
        accepting.map(|m| (score(m.node.as_str()), m)).collect();
    let by_score = |left: &(u64, &MemberInfo), right: &(u64, &MemberInfo)| {
        (right.0, &right.1.node).cmp(&(left.0, &left.1.node))
    };
    if scored.len() > MAX_HOLDERS {
        scored.select_nth_unstable_by(MAX_HOLDERS, by_score);
    }
    let count = scored.len().min(MAX_HOLDERS);
    let (order, rest) = scored.split_at_mut(count);
    order.sort_unstable_by(by_score);
    let Some((_, home)) = order.first() else { return Vec::new() };
    let in_other_zone = |(_, member): &&(u64, &MemberInfo)| member.zone != home.zone;
    let second_in_order = order.iter().find(in_other_zone).copied();
    // Rarely, all of the first members are in the home daemon's zone.
    let second = second_in_order
        .or_else(|| rest.iter().filter(in_other_zone).min_by(|l, r| by_score(l, r)).copied());
    let second = second.map(|(_, member)| &member.node);
    let others = order.iter().skip(1).map(|(_, m)| &m.node).filter(|node| Some(*node) != second);
    std::iter::once(&home.node).chain(second).chain(others).cloned().collect()
}

/// The data daemon that stores a job: the first in rendezvous order among the configured data
/// daemons, alive or not, so that a failure never maps a job to a daemon that does not have it.
pub fn job_home<'a>(
    job: &yokefall_types::JobId,
    data_nodes: &'a [NodeName],
) -> Option<&'a NodeName> {
    rendezvous_order(job.to_string().as_bytes(), data_nodes).first().copied()
}
