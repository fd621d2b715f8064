//! Clients of the platform's object API and machine list.

pub mod error;
pub mod machines;
pub mod objects;

pub use error::{PlatformError, PlatformStep};
pub use machines::{Machine, MachineListClient, MachineListing, MachineState};
pub use objects::{Change, ObjectApi, ObjectEvent, WriteOutcome};
