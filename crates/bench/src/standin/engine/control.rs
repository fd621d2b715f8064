//! Fenced orders of an engine: models, adapters, role. An order of an older epoch is refused.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an order changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ControlAction {
    /// Load a version of a model.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// Unload a model.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Load an adapter of a model.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// Role.
        role: String,
    },
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlOrder {
    /// Epoch of whoever orders.
    pub epoch: u64,
    /// What to change.
    #[serde(flatten)]
    pub action: ControlAction,
}

/// What an engine holds by order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Highest epoch seen.
    pub epoch: u64,
    /// Models with their versions.
    pub models: BTreeMap<String, u64>,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

impl ControlState {
    /// Takes an epoch. Returns `false` for one older than the highest seen.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    /// Carries out an action whose preparation is done. The epoch is checked again: a newer one
    /// may have come while weights were read.
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
