//! Values stored per incarnation of a back end: a process restarted under its id is another one.

use std::collections::HashMap;

use crate::model::{Backend, BackendIncarnation};

/// Values by incarnation. A lookup allocates nothing: each choice looks up a service's back ends.
#[derive(Clone, Debug)]
pub struct ByIncarnation<T> {
    /// By id, then by start time. An id rarely has more than one incarnation.
    incarnations: HashMap<String, Vec<(u64, T)>>,
}

impl<T> Default for ByIncarnation<T> {
    fn default() -> Self {
        Self { incarnations: HashMap::new() }
    }
}

impl<T> ByIncarnation<T> {
    /// Returns the value for the incarnation described by a record.
    pub fn get(&self, backend: &Backend) -> Option<&T> {
        let incarnations = self.incarnations.get(&backend.id)?;
        incarnations
            .iter()
            .find(|(started, _)| *started == backend.started_ms)
            .map(|(_, value)| value)
    }

    /// Returns the mutable value for the incarnation described by a record.
    pub fn get_mut(&mut self, backend: &Backend) -> Option<&mut T> {
        self.find_mut(&backend.id, backend.started_ms)
    }

    /// Returns the mutable value for an incarnation.
    pub fn incarnation_mut(&mut self, incarnation: &BackendIncarnation) -> Option<&mut T> {
        self.find_mut(&incarnation.id, incarnation.started_ms)
    }

    fn find_mut(&mut self, id: &str, started_ms: u64) -> Option<&mut T> {
        let incarnations = self.incarnations.get_mut(id)?;
        incarnations.iter_mut().find(|(started, _)| *started == started_ms).map(|(_, value)| value)
    }

    /// Iterates over all values, with id and start time.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64, &T)> {
        self.incarnations.iter().flat_map(|(id, incarnations)| {
            incarnations.iter().map(move |(started_ms, value)| (id.as_str(), *started_ms, value))
        })
    }

    /// Iterates over all values mutably.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.incarnations.values_mut().flatten().map(|(_, value)| value)
    }

    /// Removes the values for which `keeps` returns false.
    pub fn retain(&mut self, mut keeps: impl FnMut(&BackendIncarnation, &mut T) -> bool) {
        self.incarnations.retain(|id, incarnations| {
            incarnations.retain_mut(|(started_ms, value)| {
                keeps(&BackendIncarnation { id: id.clone(), started_ms: *started_ms }, value)
            });
            !incarnations.is_empty()
        });
    }
}

impl<T: Default> ByIncarnation<T> {
    /// Returns the value for an incarnation, inserting a default if there is none.
    pub fn entry(&mut self, incarnation: BackendIncarnation) -> &mut T {
        let incarnations = self.incarnations.entry(incarnation.id).or_default();
        let position =
            incarnations.iter().position(|(started, _)| *started == incarnation.started_ms);
        let position = position.unwrap_or_else(|| {
            incarnations.push((incarnation.started_ms, T::default()));
            incarnations.len() - 1
        });
        &mut incarnations[position].1
    }
}
