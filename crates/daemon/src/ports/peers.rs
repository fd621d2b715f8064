//! Dispatch of requests from other processes.

use std::sync::Arc;

use tokio::sync::oneshot;
use yokefall_peer::{PeerHandler, PeerReply, PeerRequest, Responder};
use yokefall_types::{NodeName, Refusal, RefusalReason};

use crate::control::{DispatchCommand, FleetCommand};
use crate::ports::{calls, jobs};
use crate::shared::Shared;

pub struct PeerPort {
    pub shared: Arc<Shared>,
}

impl PeerHandler for PeerPort {
    async fn handle(self: Arc<Self>, from: NodeName, request: PeerRequest, responder: Responder) {
        let shared = &self.shared;
        match request {
            PeerRequest::Members { known } => {
                let view = shared.view.load();
                let digest = view.members_digest;
                let members = (known != digest).then(|| view.members.clone());
                responder.send(PeerReply::Members { digest, members });
            }
            PeerRequest::Submit { call, offset } => {
                calls::submit(shared, call, offset, &responder).await;
            }
            PeerRequest::Attach { request, offset, wait_ms } => {
                calls::attach(shared, request, offset, wait_ms, &responder).await;
            }
            PeerRequest::CancelCall { request } => {
                let cancelled =
                    ask_dispatch(shared, |reply| DispatchCommand::Cancel { request, reply }).await;
                responder.send(PeerReply::Cancelled(cancelled.unwrap_or(false)));
            }
            PeerRequest::Execute(execute_call) => {
                calls::execute(shared, &from, execute_call, &responder).await;
            }
            PeerRequest::CancelExecution { request } => {
                let command = |reply| DispatchCommand::CancelExecution { request, reply };
                let cancelled = ask_dispatch(shared, command).await;
                responder.send(PeerReply::Cancelled(cancelled.unwrap_or(false)));
            }
            PeerRequest::HoldRecord(copy) => {
                let held =
                    ask_dispatch(shared, |reply| DispatchCommand::Hold { copy, reply }).await;
                responder.send(held.map_or_else(stopping, PeerReply::RecordHeld));
            }
            PeerRequest::ConfigurationDigest { digest, versions } => {
                let (reply, compared) = oneshot::channel();
                let command = FleetCommand::Compare { digest, versions, reply };
                let _ = shared.fleet().tell(command).await;
                let answer = compared.await.map(|(same, repair)| PeerReply::Repair {
                    same,
                    objects: repair.objects,
                    wanted: repair.wanted,
                });
                responder.send(answer.unwrap_or_else(|_| stopping()));
            }
            PeerRequest::WorkAvailable { store, service } => {
                let command = DispatchCommand::WorkAvailable { store, service };
                let _ = shared.dispatch().tell(command).await;
                responder.send(PeerReply::Done);
            }
            PeerRequest::PushObjects(objects) => {
                let _ = shared.fleet().tell(FleetCommand::Apply(objects)).await;
                responder.send(PeerReply::Done);
            }
            request => {
                responder.send(jobs::answer(shared, request).await);
            }
        }
    }
}

/// Sends a command to the dispatch actor and waits for its reply; `None` if the actor has stopped.
pub async fn ask_dispatch<T>(
    shared: &Shared,
    command: impl FnOnce(oneshot::Sender<T>) -> DispatchCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    shared.dispatch().tell(command(reply)).await.ok()?;
    answer.await.ok()
}

fn stopping() -> PeerReply {
    PeerReply::Refused(Refusal::not_run(RefusalReason::Stopping, "this daemon is stopping"))
}
