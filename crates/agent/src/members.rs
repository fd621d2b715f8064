//! Discovery of the fleet's daemons: the member list is polled from any one of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use yokefall_peer::{MemberInfo, PeerClient, PeerReply, PeerRequest};
use yokefall_telemetry::{Event, HealthState, Level};
use yokefall_types::NodeName;

const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before another daemon is asked after one failed or had no members to report.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The last member list received, shared between clones.
#[derive(Clone, Debug)]
pub struct Members {
    current: Arc<ArcSwap<Vec<MemberInfo>>>,
}

impl Members {
    /// Starts refreshing the member list, initially from the seed addresses.
    pub fn start(peers: PeerClient, seeds: Vec<SocketAddr>, health: Arc<HealthState>) -> Self {
        let current = Arc::new(ArcSwap::from_pointee(Vec::new()));
        let members = Self { current };
        tokio::spawn(members.clone().refresh(peers, seeds, health));
        members
    }

    /// The current member list.
    pub fn load(&self) -> Arc<Vec<MemberInfo>> {
        self.current.load_full()
    }

    /// Peer address of a daemon.
    pub fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.load().iter().find(|member| member.node == *node)?.address.parse().ok()
    }

    async fn refresh(self, peers: PeerClient, seeds: Vec<SocketAddr>, health: Arc<HealthState>) {
        let mut round = 0;
        let mut current_digest = 0;
        loop {
            let known = self.load();
            let mut candidates: Vec<SocketAddr> =
                known.iter().filter_map(|member| member.address.parse().ok()).collect();
            candidates.extend(&seeds);
            let peer = candidates[round % candidates.len()];
            round += 1;
            let request = PeerRequest::Members { known: current_digest };
            match peers.call(peer, request, REPLY_TIMEOUT).await {
                Ok(PeerReply::Members { digest, members })
                    if digest == current_digest || is_nonempty(&members) =>
                {
                    if let Some(members) = members {
                        self.current.store(Arc::new(members));
                        current_digest = digest;
                    }
                    health.set_ready(true);
                    tokio::time::sleep(REFRESH_INTERVAL).await;
                }
                Ok(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                Err(error) => {
                    Event::new(Level::Warn, "refresh members").peer(peer).write(error);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Whether a reply lists at least one member. A daemon that has just started may not know any yet.
fn is_nonempty(members: &Option<Vec<MemberInfo>>) -> bool {
    members.as_ref().is_some_and(|members| !members.is_empty())
}
