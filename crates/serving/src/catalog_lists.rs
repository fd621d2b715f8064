//! Copy-on-write updates of the lists in a catalog.

use std::collections::HashMap;
use std::sync::Arc;

use crate::backend_table::{BackendList, BackendTable};
use crate::catalog::Catalog;
use crate::model::Backend;

/// Back ends that accept work, by service or by region.
pub(crate) type BackendLists = HashMap<String, Arc<BackendList>>;

/// Lists being modified; each is copied from the catalog on first access.
#[derive(Default)]
pub(crate) struct ListUpdates {
    services: HashMap<String, BackendTable>,
    regions: HashMap<(String, String), BackendTable>,
}

impl ListUpdates {
    pub(crate) fn insert(&mut self, catalog: &Catalog, backend: &Arc<Backend>) {
        self.update_lists(catalog, backend, |table| table.insert(backend.clone()));
    }

    pub(crate) fn remove(&mut self, catalog: &Catalog, backend: &Arc<Backend>) {
        self.update_lists(catalog, backend, |table| table.remove(&backend.id));
    }

    fn update_lists(
        &mut self,
        catalog: &Catalog,
        backend: &Backend,
        change: impl Fn(&mut BackendTable),
    ) {
        let table = |list: Option<&Arc<BackendList>>| list.map(|list| list.table().clone());
        let held = || table(catalog.ready.get(&backend.service)).unwrap_or_default();
        change(self.services.entry(backend.service.clone()).or_insert_with(held));
        let Some(region) = catalog.zones.region_of(&backend.zone) else { return };
        let by_region = catalog.ready_by_region.get(&backend.service);
        let held = || table(by_region.and_then(|lists| lists.get(region))).unwrap_or_default();
        let key = (backend.service.clone(), region.to_owned());
        change(self.regions.entry(key).or_insert_with(held));
    }

    /// Stores the modified lists in the catalog and drops empty ones.
    pub(crate) fn store_into(self, catalog: &mut Catalog) {
        store_lists(&mut catalog.ready, self.services.into_iter());
        for ((service, region), table) in self.regions {
            let lists = catalog.ready_by_region.entry(service).or_default();
            store_lists(lists, std::iter::once((region, table)));
        }
        catalog.ready_by_region.retain(|_, lists| !lists.is_empty());
    }
}

fn store_lists(lists: &mut BackendLists, changed: impl Iterator<Item = (String, BackendTable)>) {
    for (name, table) in changed {
        match table.is_empty() {
            true => lists.remove(&name),
            false => lists.insert(name, Arc::new(BackendList::from(table))),
        };
    }
}
