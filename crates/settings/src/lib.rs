//! Settings files: keys, defaults, validation and the documented example.

pub mod error;
pub mod example;
pub mod model;
pub mod serving;

pub use error::SettingsError;
pub use model::{
    BatchSettings, DataSettings, FleetSettings, ListenSettings, LogFormat, LogLevel, LogSettings,
    NodeSettings, PlatformSettings, RequestSettings, Role, SecuritySettings, Settings,
    StopSettings,
};
pub use serving::{
    ServingData, ServingFleet, ServingLimits, ServingListen, ServingLog, ServingPlatform,
    ServingRole, ServingSettings, ServingStop,
};
