//! Declarations: the configuration objects that operators apply.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::limits::{self, check_name};
use crate::{PartnerName, ServiceName};

/// API group of every declaration in the object API.
pub const API_GROUP: &str = "yokefall.dev";
/// API version of every declaration in the object API.
pub const API_VERSION: &str = "v1";

/// The kinds of declaration.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub enum Kind {
    /// A service that callers name.
    Service,
    /// A back end that runs a service.
    Backend,
    /// A machine of the machine list: not declared by operators, but distributed the same way.
    Machine,
}

impl Kind {
    /// The kinds that operators declare.
    pub const DECLARED: [Kind; 2] = [Kind::Service, Kind::Backend];

    /// The kind's name, as in a declaration file.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Service => "Service",
            Kind::Backend => "Backend",
            Kind::Machine => "Machine",
        }
    }

    /// The plural of the kind, as in the paths of the object API.
    pub fn plural(self) -> &'static str {
        match self {
            Kind::Service => "services",
            Kind::Backend => "backends",
            Kind::Machine => "machines",
        }
    }

    /// The declared kind with this name, if there is one.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::DECLARED.into_iter().find(|kind| kind.name().eq_ignore_ascii_case(name))
    }
}

/// Identity of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ObjectKey {
    /// The partner whose namespace holds it.
    pub partner: PartnerName,
    /// The kind.
    pub kind: Kind,
    /// The name, unique within partner and kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.partner, self.kind.name(), self.name)
    }
}

/// What a service runs on.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// Plain request and response over HTTP.
    Plain,
}

/// Declares a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// What it runs on.
    pub kind: ServiceKind,
    /// Model name sent to engines; empty for plain services.
    #[serde(default)]
    pub model: String,
    /// Slots of each back end reserved for online calls, never used by batch items.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Maximum number of online calls queued at the owner of one back end.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Maximum prompt, in bytes.
    #[serde(default = "default_max_prompt_bytes")]
    pub max_prompt_bytes: u32,
    /// Maximum number of tokens that a call may request.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

fn default_queue_limit() -> u32 {
    64
}

fn default_max_prompt_bytes() -> u32 {
    32 * 1024
}

fn default_max_tokens() -> u32 {
    2048
}

/// Declares a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct BackendSpec {
    /// The service that it runs.
    pub service: ServiceName,
    /// Address of its HTTP port, `IP:PORT`.
    pub address: String,
    /// Zone of the back end.
    pub zone: String,
    /// Machine on which it runs, as named by the machine list.
    pub machine: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}

/// State of a machine in the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineSpec {
    /// Whether the machine is leaving: no new calls may be sent to it.
    pub leaving: bool,
}

/// The content of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Declaration {
    /// A service.
    Service(ServiceSpec),
    /// A back end.
    Backend(BackendSpec),
    /// A machine of the machine list.
    Machine(MachineSpec),
}

/// A declaration that cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the field, such as `spec.slots`.
    pub field: String,
    /// The problem and the accepted values.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.message)
    }
}

impl std::error::Error for ValidationError {}

fn invalid(field: &str, message: impl Into<String>) -> ValidationError {
    ValidationError { field: field.to_owned(), message: message.into() }
}

fn check_range(field: &str, value: u32, low: u32, high: u32) -> Result<(), ValidationError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(invalid(field, format!("{value} is out of range, give {low} to {high}")))
}

impl Declaration {
    /// The kind of this declaration.
    pub fn kind(&self) -> Kind {
        match self {
            Declaration::Service(_) => Kind::Service,
            Declaration::Backend(_) => Kind::Backend,
            Declaration::Machine(_) => Kind::Machine,
        }
    }

    /// Reads the JSON of a `spec` field for `kind`; the error names the field.
    pub fn from_spec_json(kind: Kind, json: &str) -> Result<Self, ValidationError> {
        let text = format!("{{\"kind\":\"{}\",\"spec\":{json}}}", kind.name());
        let declaration: Declaration =
            serde_json::from_str(&text).map_err(|error| invalid("spec", error.to_string()))?;
        declaration.validate()?;
        Ok(declaration)
    }

    /// The JSON of the `spec` field.
    pub fn spec_json(&self) -> String {
        let value = match self {
            Declaration::Service(spec) => serde_json::to_string(spec),
            Declaration::Backend(spec) => serde_json::to_string(spec),
            Declaration::Machine(spec) => serde_json::to_string(spec),
        };
        value.unwrap_or_default()
    }

    /// Checks every field against its range.
    pub fn validate(&self) -> Result<(), ValidationError> {
        match self {
            Declaration::Service(spec) => spec.validate(),
            Declaration::Backend(spec) => spec.validate(),
            Declaration::Machine(_) => Ok(()),
        }
    }
}

impl ServiceSpec {
    fn validate(&self) -> Result<(), ValidationError> {
        if self.kind == ServiceKind::Model && self.model.is_empty() {
            return Err(invalid("spec.model", "must not be empty for a model service"));
        }
        check_range("spec.reservedSlots", self.reserved_slots, 0, 4096)?;
        check_range("spec.queueLimit", self.queue_limit, 1, 65_536)?;
        let max_bytes = limits::MAX_PROMPT_BYTES as u32;
        check_range("spec.maxPromptBytes", self.max_prompt_bytes, 1, max_bytes)?;
        check_range("spec.maxTokens", self.max_tokens, 1, limits::MAX_TOKENS)
    }
}

impl BackendSpec {
    fn validate(&self) -> Result<(), ValidationError> {
        let named = [
            ("spec.service", self.service.as_str()),
            ("spec.zone", self.zone.as_str()),
            ("spec.machine", self.machine.as_str()),
        ];
        for (field, value) in named {
            check_name(field, value).map_err(|message| invalid(field, message))?;
        }
        if self.address.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("{:?} is not IP:PORT, such as 10.0.0.7:8000", self.address);
            return Err(invalid("spec.address", message));
        }
        check_range("spec.slots", self.slots, 1, 4096)
    }
}
