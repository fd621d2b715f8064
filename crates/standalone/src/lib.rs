//! Runs gateways and job stores without a platform: routes, back ends and tenants come from a
//! catalog file, and HTTP calls use Yokefall's native headers and formats.

pub mod catalog;
pub mod claims;
pub mod dialect;

use std::path::PathBuf;
use std::sync::Arc;

use yokefall_serving::{Backend, Configuration, Dialect, Evacuation, Platform, Retirement};

use crate::catalog::{CatalogReader, FileSource};
use crate::claims::FileRegistry;
use crate::dialect::NativeDialect;

/// Platform that is backed by a catalog file.
#[derive(Clone, Debug)]
pub struct Standalone {
    catalog: PathBuf,
}

impl Standalone {
    /// Uses the routes, back ends and tenants in a catalog file, rereading it whenever it changes.
    pub fn new(catalog: PathBuf) -> Self {
        Self { catalog }
    }
}

impl Platform for Standalone {
    type Configurations = FileSource<Configuration>;
    type Backends = FileSource<Backend>;
    type Evacuations = FileSource<Evacuation>;
    type Retirements = FileSource<Retirement>;
    type Registry = FileRegistry;
    type ConfigurationReader = CatalogReader;

    fn configurations(&self) -> Self::Configurations {
        FileSource::new(self.catalog.clone(), catalog::configurations)
    }

    fn backends(&self) -> Self::Backends {
        FileSource::new(self.catalog.clone(), catalog::backends)
    }

    fn evacuations(&self) -> Self::Evacuations {
        FileSource::new(self.catalog.clone(), catalog::evacuations)
    }

    fn retirements(&self) -> Self::Retirements {
        FileSource::new(self.catalog.clone(), catalog::retirements)
    }

    fn registry(&self) -> Self::Registry {
        FileRegistry::new(self.catalog.with_extension("claims"))
    }

    fn configuration_reader(&self) -> Self::ConfigurationReader {
        CatalogReader::new(self.catalog.clone())
    }

    fn dialect(&self) -> Arc<dyn Dialect> {
        Arc::new(NativeDialect::default())
    }
}
