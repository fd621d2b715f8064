//! The actor of calls and items, which runs the coordinator, admission and the batch runner.

use std::collections::HashMap;
use std::sync::Arc;

use kameo::message::{Context, Message};
use kameo::Actor;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use yokefall_core::admission::{Admission, AdmissionEffect, Ticket};
use yokefall_core::batch::{BatchEffect, BatchRunner, ItemEnd};
use yokefall_core::coordinator::{Coordinator, CoordinatorEffect, Submission};
use yokefall_peer::{LeasedItem, LeasedItemRef, OwnerLoad, RecordCopy};
use yokefall_types::{CallHeader, NodeName, Outcome, Refusal, RefusalReason, RequestId, ServiceId};

use crate::shared::Shared;
use crate::traffic::buffer::Call;
use crate::traffic::{batch, execution, home};

/// Remaining work, checked during a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BusyCounts {
    /// Requests whose home is this daemon and that have not ended.
    pub requests: usize,
    /// Calls and items that run or wait at this daemon as owner.
    pub admitted: usize,
    /// Batch items held, including those whose result is not yet acknowledged.
    pub items: usize,
    /// Record handovers that are not yet acknowledged.
    pub handovers: usize,
}

impl BusyCounts {
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

pub enum DispatchCommand {
    /// Handle timeouts and periodic work.
    Tick,
    ViewChanged,
    /// Submit a call to its home daemon.
    Submit {
        /// The call; the actor adds it to the call table.
        call: Arc<Call>,
        reply: oneshot::Sender<Submission>,
    },
    Cancel {
        request: RequestId,
        /// Whether it had not ended.
        reply: oneshot::Sender<bool>,
    },
    /// A daemon confirmed that it holds the copy of a record.
    CopyHeld {
        request: RequestId,
        holder: NodeName,
        /// The copy of another home that it held before.
        previous: Option<RecordCopy>,
    },
    /// The copy of a record could not be stored at a daemon.
    CopyFailed {
        request: RequestId,
        holder: NodeName,
    },
    /// A handover of a record was acknowledged or failed.
    HandedOver {
        request: RequestId,
        holder: NodeName,
        /// Whether it holds the record.
        acknowledged: bool,
    },
    /// A back end started the call.
    Started {
        request: RequestId,
        attempt: u32,
    },
    ExecutionEnded {
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<OwnerLoad>,
    },
    /// The connection to an owner was lost.
    ExecutionLost {
        request: RequestId,
        attempt: u32,
        /// Whether the owner may have received the call.
        may_have_arrived: bool,
        detail: String,
    },
    /// Store a copy of another daemon's record.
    Hold {
        copy: RecordCopy,
        /// The record of another home that this daemon held before.
        reply: oneshot::Sender<Option<RecordCopy>>,
    },
    /// Get the copy held for a request.
    CopyOf {
        request: RequestId,
        reply: oneshot::Sender<Option<RecordCopy>>,
    },
    /// Admit a call at its owner.
    Arrive {
        /// The execution, which is already in the execution table.
        execution: Arc<Call>,
    },
    /// An online execution ended at the back end.
    OnlineEnded {
        ticket: Ticket,
        /// Whether the back end failed.
        failed: bool,
        /// The load after its end.
        reply: oneshot::Sender<OwnerLoad>,
    },
    /// Cancel an execution on behalf of a home daemon.
    CancelExecution {
        request: RequestId,
        /// Whether it was waiting or running.
        reply: oneshot::Sender<bool>,
    },
    /// A store answered a lease request, or the request failed.
    Leased {
        store: NodeName,
        service: ServiceId,
        /// The items; `None` if the request failed.
        items: Option<Vec<LeasedItem>>,
    },
    /// A store announced waiting items of a service.
    WorkAvailable {
        store: NodeName,
        service: ServiceId,
    },
    /// A store answered a request for start marks.
    StartAnswered {
        requested: Vec<LeasedItemRef>,
        granted: Vec<LeasedItemRef>,
    },
    /// A store answered a lease extension.
    Extended {
        requested: Vec<LeasedItemRef>,
        granted: Vec<LeasedItemRef>,
    },
    ItemEnded {
        ticket: Ticket,
        end: ItemEnd,
    },
    /// A store acknowledged a report.
    Reported {
        ticket: Ticket,
    },
    PauseBatch,
    /// Get the remaining work.
    Busy(oneshot::Sender<BusyCounts>),
}

/// Owns all control state of calls and items.
#[derive(Actor)]
pub struct DispatchActor {
    shared: Arc<Shared>,
    traffic: Handle,
    coordinator: Coordinator,
    admission: Admission,
    runner: BatchRunner,
    online: HashMap<Ticket, Arc<Call>>,
    tickets: HashMap<RequestId, Ticket>,
}

impl DispatchActor {
    pub(super) fn new(
        shared: Arc<Shared>,
        traffic: Handle,
        seed: u64,
        retention_ms: u64,
        stores: Vec<NodeName>,
    ) -> Self {
        Self {
            coordinator: Coordinator::new(shared.home.clone(), seed, retention_ms),
            shared,
            traffic,
            admission: Admission::default(),
            runner: BatchRunner::new(stores),
            online: HashMap::new(),
            tickets: HashMap::new(),
        }
    }

    fn submit(&mut self, call: Arc<Call>) -> Submission {
        let now = self.shared.clock.now();
        let view = self.shared.view.load_full();
        let header = call.header().clone();
        let body_bytes = call.body_bytes();
        let (submission, effects) =
            self.coordinator.submit(now, &view, header, call.digest(), body_bytes);
        if self.coordinator.is_home_of(&call.header().request) {
            self.shared.calls.insert_if_absent(call);
        }
        self.execute_coordinator_effects(effects);
        submission
    }

    fn execute_coordinator_effects(&mut self, effects: Vec<CoordinatorEffect>) {
        for effect in effects {
            home::execute_effect(&self.shared, &self.traffic, effect);
        }
    }

    fn arrive(&mut self, execution: Arc<Call>) {
        let now = self.shared.clock.now();
        let ticket = self.admission.next_ticket();
        let header: &CallHeader = execution.header();
        let deadline = now.plus_millis(header.deadline_ms);
        let service = header.service_id();
        let priority = header.priority;
        self.tickets.insert(header.request.clone(), ticket);
        self.online.insert(ticket, execution);
        let effects = self.admission.arrive(now, ticket, &service, priority, deadline);
        self.execute_admission_effects(effects);
    }

    fn execute_admission_effects(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Start { ticket, backend, address } => {
                    let Some(execution) = self.online.get(&ticket).cloned() else { continue };
                    let shared = self.shared.clone();
                    self.traffic.spawn(execution::run(shared, execution, ticket, backend, address));
                }
                AdmissionEffect::Preempt { ticket } => self.shared.items.stop(ticket),
                AdmissionEffect::Refuse { ticket, refusal } => self.refuse(ticket, refusal),
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        let Some(execution) = self.remove_online(ticket) else { return };
        let load = self.load_for(&execution);
        execution.buffer().end(Outcome::Refused(refusal), Some(load));
    }

    fn remove_online(&mut self, ticket: Ticket) -> Option<Arc<Call>> {
        let execution = self.online.remove(&ticket)?;
        let request = &execution.header().request;
        if self.tickets.get(request) == Some(&ticket) {
            self.tickets.remove(request);
        }
        Some(execution)
    }

    fn load_for(&self, execution: &Call) -> OwnerLoad {
        self.admission.load(self.shared.clock.now(), &execution.header().service_id())
    }

    fn online_ended(&mut self, ticket: Ticket, failed: bool) -> OwnerLoad {
        let now = self.shared.clock.now();
        let effects = self.admission.finish(now, ticket, failed);
        let execution = self.remove_online(ticket);
        self.execute_admission_effects(effects);
        self.lease();
        execution.map(|execution| self.load_for(&execution)).unwrap_or_default()
    }

    fn cancel_execution(&mut self, request: &RequestId) -> bool {
        let Some(ticket) = self.tickets.get(request).copied() else { return false };
        if self.admission.cancel_waiting(ticket) {
            let refusal = Refusal::not_run(RefusalReason::Cancelled, "cancelled while waiting");
            self.refuse(ticket, refusal);
            return true;
        }
        if let Some(execution) = self.online.get(&ticket) {
            execution.stop();
        }
        true
    }

    fn lease(&mut self) {
        let effects = self.runner.lease(self.shared.clock.now(), &self.admission);
        self.execute_batch_effects(effects);
    }

    fn execute_batch_effects(&mut self, effects: Vec<BatchEffect>) {
        for effect in effects {
            batch::execute_effect(&self.shared, &self.traffic, effect);
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        let view = self.shared.view.load_full();
        let effects = self.coordinator.tick(now, &view);
        self.execute_coordinator_effects(effects);
        let effects = self.admission.tick(now);
        self.execute_admission_effects(effects);
        let effects = self.runner.tick(now);
        self.execute_batch_effects(effects);
        self.lease();
        let (records, copies) = self.coordinator.record_counts();
        metrics::gauge!("yokefall_request_records").set(records as f64);
        metrics::gauge!("yokefall_request_copies").set(copies as f64);
        metrics::gauge!("yokefall_batch_items_held").set(self.runner.held_items() as f64);
    }

    fn leased(&mut self, store: &NodeName, service: &ServiceId, items: Option<Vec<LeasedItem>>) {
        let now = self.shared.clock.now();
        let Some(items) = items else {
            self.runner.lease_failed(now, store, service);
            return;
        };
        let effects = self.runner.leased(now, &mut self.admission, store, service, items);
        self.execute_batch_effects(effects);
        self.lease();
    }

    fn item_ended(&mut self, ticket: Ticket, end: ItemEnd) {
        let now = self.shared.clock.now();
        let (effects, admitted) = self.runner.ended(now, &mut self.admission, ticket, end);
        self.execute_batch_effects(effects);
        self.execute_admission_effects(admitted);
        self.lease();
    }

    fn start_answered(&mut self, requested: &[LeasedItemRef], granted: &[LeasedItemRef]) {
        let now = self.shared.clock.now();
        let (effects, admitted) =
            self.runner.start_answered(now, &mut self.admission, requested, granted);
        self.execute_batch_effects(effects);
        self.execute_admission_effects(admitted);
    }

    fn busy_counts(&self) -> BusyCounts {
        BusyCounts {
            requests: self.coordinator.open_requests(),
            admitted: self.admission.active_tickets(),
            items: self.runner.held_items(),
            handovers: self.coordinator.open_handovers(),
        }
    }
}

impl Message<DispatchCommand> for DispatchActor {
    type Reply = ();

    async fn handle(&mut self, command: DispatchCommand, _: &mut Context<Self, ()>) {
        let now = self.shared.clock.now();
        match command {
            DispatchCommand::Tick => self.tick(),
            DispatchCommand::ViewChanged => {
                let view = self.shared.view.load_full();
                let effects = self.admission.configure(now, &view);
                self.execute_admission_effects(effects);
                self.coordinator.view_changed(&view);
            }
            DispatchCommand::Submit { call, reply } => {
                let _ = reply.send(self.submit(call));
            }
            DispatchCommand::Cancel { request, reply } => {
                let view = self.shared.view.load_full();
                let (cancelled, effects) = self.coordinator.cancel(now, &view, &request);
                self.execute_coordinator_effects(effects);
                let _ = reply.send(cancelled);
            }
            DispatchCommand::CopyHeld { request, holder, previous } => {
                let view = self.shared.view.load_full();
                let effects = self.coordinator.copy_held(now, &view, &request, &holder, previous);
                self.execute_coordinator_effects(effects);
            }
            DispatchCommand::HandedOver { request, holder, acknowledged } => {
                self.coordinator.handed_over(now, &request, &holder, acknowledged);
            }
            DispatchCommand::CopyFailed { request, holder } => {
                let view = self.shared.view.load_full();
                let effects = self.coordinator.copy_failed(now, &view, &request, &holder);
                self.execute_coordinator_effects(effects);
            }
            DispatchCommand::Started { request, attempt } => {
                self.coordinator.started(&request, attempt);
            }
            DispatchCommand::ExecutionEnded { request, attempt, outcome, load } => {
                let view = self.shared.view.load_full();
                let effects =
                    self.coordinator.execution_ended(now, &view, &request, attempt, outcome, load);
                self.execute_coordinator_effects(effects);
            }
            DispatchCommand::ExecutionLost { request, attempt, may_have_arrived, detail } => {
                let view = self.shared.view.load_full();
                let effects = self.coordinator.execution_lost(
                    now,
                    &view,
                    &request,
                    attempt,
                    may_have_arrived,
                    detail,
                );
                self.execute_coordinator_effects(effects);
            }
            DispatchCommand::Hold { copy, reply } => {
                let view = self.shared.view.load_full();
                let _ = reply.send(self.coordinator.hold(now, &view, copy));
            }
            DispatchCommand::CopyOf { request, reply } => {
                let _ = reply.send(self.coordinator.copy_of(&request).cloned());
            }
            DispatchCommand::Arrive { execution } => self.arrive(execution),
            DispatchCommand::OnlineEnded { ticket, failed, reply } => {
                let _ = reply.send(self.online_ended(ticket, failed));
            }
            DispatchCommand::CancelExecution { request, reply } => {
                let _ = reply.send(self.cancel_execution(&request));
            }
            DispatchCommand::Leased { store, service, items } => {
                self.leased(&store, &service, items);
            }
            DispatchCommand::WorkAvailable { store, service } => {
                self.runner.work_available(&store, &service);
                self.lease();
            }
            DispatchCommand::StartAnswered { requested, granted } => {
                self.start_answered(&requested, &granted);
            }
            DispatchCommand::Extended { requested, granted } => {
                let effects = self.runner.extended(&requested, &granted);
                self.execute_batch_effects(effects);
            }
            DispatchCommand::ItemEnded { ticket, end } => self.item_ended(ticket, end),
            DispatchCommand::Reported { ticket } => self.runner.reported(ticket),
            DispatchCommand::PauseBatch => self.runner.pause(),
            DispatchCommand::Busy(reply) => {
                let _ = reply.send(self.busy_counts());
            }
        }
    }
}
