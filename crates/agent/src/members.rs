//! The daemons of the fleet, learnt from any one of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use yokefall_peer::{MemberInfo, PeerClient, PeerReply, PeerRequest};
use yokefall_telemetry::{Event, HealthState, Level};
use yokefall_types::NodeName;

/// Interval at which the members are asked for.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval while no daemon has answered yet.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a daemon must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The members known last.
#[derive(Clone, Debug)]
pub struct Members {
    current: Arc<ArcSwap<Vec<MemberInfo>>>,
}

impl Members {
    /// Starts to follow the fleet, from its seeds on.
    pub fn start(peers: PeerClient, seeds: Vec<SocketAddr>, health: Arc<HealthState>) -> Self {
        let current = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let members = Self { current };
        tokio::spawn(members.clone().refresh(peers, seeds, health));
        members
    }

    /// The members known now.
    pub fn load(&self) -> Arc<Vec<MemberInfo>> {
        self.current.load_full()
    }

    /// Peer address of a daemon.
    pub fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.load().iter().find(|member| member.node == *node)?.address.parse().ok()
    }

    async fn refresh(self, peers: PeerClient, seeds: Vec<SocketAddr>, health: Arc<HealthState>) {
        let mut turn = 0;
        let mut held = 0;
        loop {
            let known = self.load();
            let mut candidates: Vec<SocketAddr> =
                known.iter().filter_map(|member| member.address.parse().ok()).collect();
            candidates.extend(&seeds);
            let peer = candidates[turn % candidates.len()];
            turn += 1;
            let request = PeerRequest::Members { known: held };
            match peers.call(peer, request, ANSWER_TIMEOUT).await {
                Ok(PeerReply::Members { digest, members })
                    if digest == held || is_filled(&members) =>
                {
                    if let Some(members) = members {
                        self.current.store(Arc::new(members));
                        held = digest;
                    }
                    health.set_ready(true);
                    tokio::time::sleep(REFRESH_INTERVAL).await;
                }
                Ok(_) => tokio::time::sleep(FIRST_INTERVAL).await,
                Err(error) => {
                    Event::new(Level::Warn, "refresh members").peer(peer).write(error);
                    tokio::time::sleep(FIRST_INTERVAL).await;
                }
            }
        }
    }
}

/// A daemon that has just started may know no member yet.
fn is_filled(members: &Option<Vec<MemberInfo>>) -> bool {
    members.as_ref().is_some_and(|members| !members.is_empty())
}
