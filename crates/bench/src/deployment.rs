//! Reference deployments of the two partners: regions, zones, services and back-end counts.

use std::time::Duration;

use yokefall_types::ServiceKind;

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Service name.
    pub name: &'static str,
    /// Kind of the back ends that serve it.
    pub kind: ServiceKind,
    /// Number of back ends, distributed evenly over the zones.
    pub backends: usize,
    /// Maximum concurrent calls of a back end.
    pub slots: u32,
    /// Slots of a back end that batch items may not use.
    pub reserved_slots: u32,
    /// Duration of one call, for plain services.
    pub service_time: Duration,
}

/// One partner's deployment.
#[derive(Clone, Debug)]
pub struct PartnerPlan {
    /// Partner name.
    pub partner: &'static str,
    /// Region.
    pub region: &'static str,
    /// Zones of the region.
    pub zones: &'static [&'static str],
    /// Services; the first is the model service, the second the plain one.
    pub services: Vec<ServicePlan>,
}

impl PartnerPlan {
    /// The service that generates text.
    pub fn model_service(&self) -> &ServicePlan {
        &self.services[0]
    }

    /// The plain service.
    pub fn plain_service(&self) -> &ServicePlan {
        &self.services[1]
    }
}

const MODEL_SLOTS: u32 = 8;
const PLAIN_SLOTS: u32 = 32;

fn model(name: &'static str, backends: usize) -> ServicePlan {
    ServicePlan {
        name,
        kind: ServiceKind::Model,
        backends,
        slots: MODEL_SLOTS,
        reserved_slots: 1,
        service_time: Duration::ZERO,
    }
}

fn plain(name: &'static str, backends: usize, milliseconds: u64) -> ServicePlan {
    ServicePlan {
        name,
        kind: ServiceKind::Plain,
        backends,
        slots: PLAIN_SLOTS,
        reserved_slots: PLAIN_SLOTS / 2,
        service_time: Duration::from_millis(milliseconds),
    }
}

/// The deployments of the partners Board and Trasovka.
pub fn reference_deployments() -> Vec<PartnerPlan> {
    vec![
        PartnerPlan {
            partner: "board",
            region: "bengal-south",
            zones: &["kolkata-hall", "howrah-hall", "baruipur-hall"],
            services: vec![model("pathmind", 8), plain("tilegate", 3, 20)],
        },
        PartnerPlan {
            partner: "trasovka",
            region: "sk-west",
            zones: &["trnava-hall", "senec-hall", "nitra-hall"],
            services: vec![model("routewords", 13), plain("turnserve", 3, 5)],
        },
    ]
}
