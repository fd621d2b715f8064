//! Fenced control orders for an engine's models, adapters and role; an older epoch is refused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Change that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ControlAction {
    /// Load a version of a model.
    LoadModel {
        /// Model name.
        model: String,
        /// Version.
        version: u64,
    },
    /// Unload a model.
    UnloadModel {
        /// Model name.
        model: String,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// Adapter name.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// Role name.
        role: String,
    },
}

/// A control order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlOrder {
    /// Epoch of the sender.
    pub epoch: u64,
    /// Change to make.
    #[serde(flatten)]
    pub action: ControlAction,
}

/// State of an engine that orders change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Highest epoch seen.
    pub epoch: u64,
    /// Loaded models and their versions.
    pub models: BTreeMap<String, u64>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

impl ControlState {
    /// Records an epoch. Returns `false` if it is older than the highest one seen.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    /// Applies a prepared order, unless a newer epoch arrived while weights were read.
    pub fn apply(&mut self, order: &ControlOrder) -> bool {
        if !self.accept_epoch(order.epoch) {
            return false;
        }
        match &order.action {
            ControlAction::LoadModel { model, version } => {
                self.models.insert(model.clone(), *version);
            }
            ControlAction::UnloadModel { model } => {
                self.models.remove(model);
            }
            ControlAction::LoadAdapter { adapter } => {
                if !self.adapters.contains(adapter) {
                    self.adapters.push(adapter.clone());
                }
            }
            ControlAction::SetRole { role } => self.role.clone_from(role),
        }
        true
    }
}
