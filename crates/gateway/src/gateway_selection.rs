//! Selects the gateways announced to a client: those of its own region while enough of them are
//! running. The body of a request then does not leave the region before it is known where it may be
//! served, and the latency is lower.
//!
//! Gateways of evacuated zones are still announced: an evacuation drains back ends, and a gateway
//! in the zone forwards to those of other zones. Omitting them would put the load of a whole zone
//! on the others of its region.

use yokefall_serving::{FleetMember, Residency, ZoneMap};

use crate::gateway_ranking;

/// Maximum number of gateways in a response.
pub const MAX_GATEWAYS: usize = 64;
/// Minimum share of gateways, relative to an even distribution over regions, from which a region's
/// clients get only its own gateways. With fewer, as after the loss of more than one zone, these
/// would receive more than twice the requests they are sized for.
const MIN_REGION_SHARE: f64 = 0.5;

/// Location of the client that queries gateway addresses.
#[derive(Clone, Copy, Debug)]
pub struct ClientLocation<'a> {
    /// Region of the client, if announced.
    pub region: Option<&'a str>,
    /// Zone of the client, if announced.
    pub zone: Option<&'a str>,
    /// Regions in which the routes of the requested host may be served.
    pub allowed: &'a Residency,
}

/// Regions that a selection covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionScope {
    /// Only the client's own region.
    Own,
    /// Also the regions in which requests of the host may be served.
    Allowed,
    /// All regions.
    All,
}

impl SelectionScope {
    /// Value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            SelectionScope::Own => "own-region",
            SelectionScope::Allowed => "allowed-regions",
            SelectionScope::All => "all-regions",
        }
    }
}

/// The gateways announced to a client.
#[derive(Clone, Debug)]
pub struct Choice<'a> {
    /// At most `MAX_GATEWAYS`, those of the client's own region first.
    pub gateways: Vec<&'a FleetMember>,
    /// Regions covered by the selection.
    pub scope: SelectionScope,
}

/// Selects among gateways that accept requests. A region whose zones are unknown has none.
pub fn choose<'a>(
    gateways: &[&'a FleetMember],
    zones: &ZoneMap,
    client: &ClientLocation,
) -> Choice<'a> {
    let region_of = |member: &FleetMember| zones.region_of(&member.zone);
    let is_own =
        |member: &FleetMember| client.region.is_some() && region_of(member) == client.region;
    let (own, others): (Vec<&'a FleetMember>, Vec<&'a FleetMember>) =
        gateways.iter().copied().partition(|member| is_own(member));
    if is_enough(own.len(), gateways, zones) {
        return ranked(own, Vec::new(), client, SelectionScope::Own);
    }
    let allowed: Vec<&'a FleetMember> = match client.allowed {
        Residency::Anywhere => Vec::new(),
        Residency::Within(_) => {
            let is_allowed = |member: &&FleetMember| client.allowed.allows(region_of(member));
            others.iter().copied().filter(|member| is_allowed(member)).collect()
        }
    };
    match allowed.is_empty() {
        false => ranked(own, allowed, client, SelectionScope::Allowed),
        true => ranked(own, others, client, SelectionScope::All),
    }
}

/// Whether `own` gateways suffice for a region, assuming that all have about as many clients.
fn is_enough(own: usize, gateways: &[&FleetMember], zones: &ZoneMap) -> bool {
    let mut regions: Vec<Option<&str>> =
        gateways.iter().map(|member| zones.region_of(&member.zone)).collect();
    regions.sort_unstable();
    regions.dedup();
    let even_share = gateways.len() as f64 / regions.len().max(1) as f64;
    own > 0 && own as f64 >= even_share * MIN_REGION_SHARE
}

fn ranked<'a>(
    own: Vec<&'a FleetMember>,
    others: Vec<&'a FleetMember>,
    client: &ClientLocation,
    scope: SelectionScope,
) -> Choice<'a> {
    let mut gateways = gateway_ranking::rank_for_zone(own, client.zone);
    gateways.extend(gateway_ranking::rank_for_zone(others, client.zone));
    gateways.truncate(MAX_GATEWAYS);
    Choice { gateways, scope }
}
