//! Values stored per incarnation of a back end: a process that restarts under the same id is a
//! different one.

use std::collections::HashMap;

use crate::model::{Backend, BackendLife};

/// Values by incarnation of a back end. A lookup does not allocate, because each choice of a back
/// end looks up all back ends of a service.
#[derive(Clone, Debug)]
pub struct ByLife<T> {
    /// By id, then by start time. An id rarely has more than one incarnation.
    lives: HashMap<String, Vec<(u64, T)>>,
}

impl<T> Default for ByLife<T> {
    fn default() -> Self {
        Self { lives: HashMap::new() }
    }
}

impl<T> ByLife<T> {
    /// Returns the value for the incarnation described by a record.
    pub fn get(&self, backend: &Backend) -> Option<&T> {
        let lives = self.lives.get(&backend.id)?;
        lives.iter().find(|(started, _)| *started == backend.started_ms).map(|(_, value)| value)
    }

    /// Returns the mutable value for the incarnation described by a record.
    pub fn get_mut(&mut self, backend: &Backend) -> Option<&mut T> {
        self.find_mut(&backend.id, backend.started_ms)
    }

    /// Returns the mutable value for an incarnation.
    pub fn of_life_mut(&mut self, life: &BackendLife) -> Option<&mut T> {
        self.find_mut(&life.id, life.started_ms)
    }

    fn find_mut(&mut self, id: &str, started_ms: u64) -> Option<&mut T> {
        let lives = self.lives.get_mut(id)?;
        lives.iter_mut().find(|(started, _)| *started == started_ms).map(|(_, value)| value)
    }

    /// Iterates over all values, with id and start time.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64, &T)> {
        self.lives.iter().flat_map(|(id, lives)| {
            lives.iter().map(move |(started_ms, value)| (id.as_str(), *started_ms, value))
        })
    }

    /// Iterates over all values mutably.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.lives.values_mut().flatten().map(|(_, value)| value)
    }

    /// Removes the values for which `keeps` returns false.
    pub fn retain(&mut self, mut keeps: impl FnMut(&BackendLife, &mut T) -> bool) {
        self.lives.retain(|id, lives| {
            lives.retain_mut(|(started_ms, value)| {
                keeps(&BackendLife { id: id.clone(), started_ms: *started_ms }, value)
            });
            !lives.is_empty()
        });
    }
}

impl<T: Default> ByLife<T> {
    /// Returns the value for an incarnation, inserting a default if there is none.
    pub fn entry(&mut self, life: BackendLife) -> &mut T {
        let lives = self.lives.entry(life.id).or_default();
        let position = lives.iter().position(|(started, _)| *started == life.started_ms);
        let position = position.unwrap_or_else(|| {
            lives.push((life.started_ms, T::default()));
            lives.len() - 1
        });
        &mut lives[position].1
    }
}
