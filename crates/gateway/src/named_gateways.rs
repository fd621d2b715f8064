//! Which gateways a client is told: those of its own region while enough of them live, so that the body of a
//! request does not leave the region before it is known where it may go, and comes to a gateway sooner.
//!
//! Gateways of evacuated zones are named on: an evacuation empties back ends, and a gateway beside them sends to
//! those of other zones. Leaving them out would put the load of a whole zone on the others of its region.

use yokefall_serving::{FleetMember, Residency, ZoneMap};

use crate::sample;

/// Most gateways that an answer names.
pub const MAX_GATEWAYS: usize = 64;
/// Least part of an even share of all gateways that a region has to have for its clients to be told of them
/// alone. With fewer, as after the loss of a zone and more, these would get more than twice the requests that
/// they are there for.
const LEAST_SHARE: f64 = 0.5;

/// Who asks for gateways.
#[derive(Clone, Copy, Debug)]
pub struct Asker<'a> {
    /// Region of the client, as far as it told one.
    pub region: Option<&'a str>,
    /// Its zone, as far as it told one.
    pub zone: Option<&'a str>,
    /// Where the routes of the host that it asks for may be served.
    pub allowed: &'a Residency,
}

/// How far an answer had to reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Gateways of the client's own region alone.
    Own,
    /// Those of regions in which requests of the host may be served as well.
    Allowed,
    /// Those of all regions.
    All,
}

impl Reach {
    /// Its name, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reach::Own => "own-region",
            Reach::Allowed => "allowed-regions",
            Reach::All => "all-regions",
        }
    }
}

/// The gateways that a client is told.
#[derive(Clone, Debug)]
pub struct Choice<'a> {
    /// At most `MAX_GATEWAYS` of them, those of the own region first.
    pub gateways: Vec<&'a FleetMember>,
    /// How far it had to reach.
    pub reach: Reach,
}

/// Chooses among gateways that take new work. A region whose zones are not known has none.
pub fn choose<'a>(gateways: &[&'a FleetMember], zones: &ZoneMap, asker: &Asker) -> Choice<'a> {
    let region_of = |member: &FleetMember| zones.region_of(&member.zone);
    let is_own = |member: &FleetMember| asker.region.is_some() && region_of(member) == asker.region;
    let (own, others): (Vec<&'a FleetMember>, Vec<&'a FleetMember>) =
        gateways.iter().copied().partition(|member| is_own(member));
    if is_enough(own.len(), gateways, zones) {
        return limited(own, Vec::new(), asker, Reach::Own);
    }
    let allowed: Vec<&'a FleetMember> = match asker.allowed {
        Residency::Anywhere => Vec::new(),
        Residency::Within(_) => {
            let is_allowed = |member: &&FleetMember| asker.allowed.allows(region_of(member));
            others.iter().copied().filter(|member| is_allowed(member)).collect()
        }
    };
    match allowed.is_empty() {
        false => limited(own, allowed, asker, Reach::Allowed),
        true => limited(own, others, asker, Reach::All),
    }
}

/// Whether so many gateways of a region are enough for its clients, where all regions have about as many.
fn is_enough(own: usize, gateways: &[&FleetMember], zones: &ZoneMap) -> bool {
    let mut regions: Vec<Option<&str>> =
        gateways.iter().map(|member| zones.region_of(&member.zone)).collect();
    regions.sort_unstable();
    regions.dedup();
    let even_share = gateways.len() as f64 / regions.len().max(1) as f64;
    own > 0 && own as f64 >= even_share * LEAST_SHARE
}

fn limited<'a>(
    own: Vec<&'a FleetMember>,
    others: Vec<&'a FleetMember>,
    asker: &Asker,
    reach: Reach,
) -> Choice<'a> {
    let mut gateways = sample::order(own, asker.zone);
    gateways.extend(sample::order(others, asker.zone));
    gateways.truncate(MAX_GATEWAYS);
    Choice { gateways, reach }
}
