//! Client of the object API, which lists, watches and writes declarations.

use std::time::Duration;

use futures::{Stream, StreamExt};
use kube::api::{
    Api, ApiResource, DeleteParams, ListParams, ObjectMeta, PostParams, Preconditions, TypeMeta,
    WatchEvent, WatchParams,
};
use kube::core::{DynamicObject, GroupVersionKind};
use kube::{Client, Config};
use yokefall_peer::VersionedObject;
use yokefall_types::declaration::{API_GROUP, API_VERSION};
use yokefall_types::{Declaration, Kind, ObjectKey, PartnerName};

use crate::error::{PlatformError, PlatformStep};

/// Annotation with the change id of the last write.
pub const CHANGE_ID_ANNOTATION: &str = "yokefall.dev/change-id";
/// Field of an object that contains the declaration.
const SPEC_FIELD: &str = "spec";
/// Time after which the server ends a watch, which then has to be reopened.
const WATCH_TIMEOUT_SECONDS: u32 = 240;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts to read back a write whose response was lost.
const MAX_READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_GONE: u16 = 410;

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// The declaration's identity.
    pub key: ObjectKey,
    /// The new content; `None` to delete the object.
    pub value: Option<Declaration>,
    /// The version that the operator read; zero to create the object.
    pub expected_version: u64,
    /// Id of the change, by which a retried write is recognized.
    pub change_id: String,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change was written as this version.
    Written(u64),
    /// Nothing was written: the current version is this one, or zero if there is no such object.
    Conflict(u64),
    /// Whether the change was written could not be determined.
    Unknown(String),
}

/// An event of a watch.
#[derive(Clone, Debug)]
pub enum ObjectEvent {
    /// An object changed or was deleted.
    Changed(VersionedObject),
    /// The watch expired or failed: the objects must be listed again.
    Restart(String),
}

/// Client of the object API.
#[derive(Clone)]
pub struct ObjectApi {
    url: String,
    client: Client,
}

impl ObjectApi {
    /// Creates a client of the object API at `url`.
    pub fn new(url: &str) -> Result<Self, PlatformError> {
        let failed = |cause: String| PlatformError::new(PlatformStep::Configure, url, cause);
        let uri = url.parse().map_err(|e: http::uri::InvalidUri| failed(e.to_string()))?;
        let mut config = Config::new(uri);
        config.connect_timeout = Some(CALL_TIMEOUT);
        let client = Client::try_from(config).map_err(|error| failed(error.to_string()))?;
        Ok(Self { url: url.to_owned(), client })
    }

    fn api_all_namespaces(&self, kind: Kind) -> Api<DynamicObject> {
        Api::all_with(self.client.clone(), &resource(kind))
    }

    fn api_in_namespace(&self, key: &ObjectKey) -> Api<DynamicObject> {
        Api::namespaced_with(self.client.clone(), key.partner.as_str(), &resource(key.kind))
    }

    fn error(&self, step: PlatformStep, cause: impl std::fmt::Display) -> PlatformError {
        PlatformError::new(step, &self.url, cause)
    }

    /// Lists all objects of a kind, with the version of the listing.
    pub async fn list(&self, kind: Kind) -> Result<(u64, Vec<VersionedObject>), PlatformError> {
        let api = self.api_all_namespaces(kind);
        let listing = tokio::time::timeout(CALL_TIMEOUT, api.list(&ListParams::default()))
            .await
            .map_err(|_| self.error(PlatformStep::List, "timed out"))?
            .map_err(|error| self.error(PlatformStep::List, error))?;
        let version = parse_version(listing.metadata.resource_version.as_deref());
        let objects = listing.items.iter().filter_map(|o| decode(kind, o, false)).collect();
        Ok((version, objects))
    }

    /// Watches the objects of a kind for changes after `version`.
    pub async fn watch(
        &self,
        kind: Kind,
        version: u64,
    ) -> Result<impl Stream<Item = ObjectEvent> + use<>, PlatformError> {
        let api = self.api_all_namespaces(kind);
        let params = WatchParams::default().timeout(WATCH_TIMEOUT_SECONDS);
        let version = version.to_string();
        let opening = tokio::time::timeout(CALL_TIMEOUT, api.watch(&params, &version)).await;
        let stream = opening
            .map_err(|_| self.error(PlatformStep::Watch, "timed out"))?
            .map_err(|error| self.error(PlatformStep::Watch, error))?;
        let stream = stream.boxed();
        Ok(stream.filter_map(move |event| async move {
            match event {
                Ok(WatchEvent::Added(object) | WatchEvent::Modified(object)) => {
                    decode(kind, &object, false).map(ObjectEvent::Changed)
                }
                Ok(WatchEvent::Deleted(object)) => {
                    decode(kind, &object, true).map(ObjectEvent::Changed)
                }
                Ok(WatchEvent::Bookmark(_)) => None,
                Ok(WatchEvent::Error(status)) if status.code == STATUS_GONE => {
                    Some(ObjectEvent::Restart("watch too old".to_owned()))
                }
                Ok(WatchEvent::Error(status)) => Some(ObjectEvent::Restart(status.message)),
                Err(error) => Some(ObjectEvent::Restart(error.to_string())),
            }
        }))
    }

    /// Writes a change. If the response is lost, reads the object back and compares its change id.
    pub async fn write(&self, change: &Change) -> WriteOutcome {
        if let Ok(Some(object)) = self.read(&change.key).await {
            if change_id(&object) == Some(change.change_id.as_str()) {
                return WriteOutcome::Written(version_of(&object));
            }
        }
        match tokio::time::timeout(CALL_TIMEOUT, self.write_once(change)).await {
            Ok(Ok(version)) => WriteOutcome::Written(version),
            Ok(Err(kube::Error::Api(status))) if status.code == STATUS_CONFLICT => {
                self.determine_outcome(change, true, &status.message).await
            }
            Ok(Err(kube::Error::Api(status))) if status.code == STATUS_NOT_FOUND => {
                WriteOutcome::Conflict(0)
            }
            Ok(Err(error)) => self.determine_outcome(change, false, &error.to_string()).await,
            Err(_) => self.determine_outcome(change, false, "timed out").await,
        }
    }

    async fn write_once(&self, change: &Change) -> Result<u64, kube::Error> {
        let api = self.api_in_namespace(&change.key);
        let name = change.key.name.as_str();
        let Some(value) = &change.value else {
            let preconditions = Preconditions {
                resource_version: Some(change.expected_version.to_string()),
                uid: None,
            };
            let params =
                DeleteParams { preconditions: Some(preconditions), ..DeleteParams::default() };
            let deleted = api.delete(name, &params).await?;
            return Ok(deleted.left().map_or(change.expected_version + 1, |o| version_of(&o)));
        };
        let object = encode(change, value);
        let params = PostParams::default();
        let written = if change.expected_version == 0 {
            api.create(&params, &object).await?
        } else {
            api.replace(name, &params, &object).await?
        };
        Ok(version_of(&written))
    }

    /// Determines the outcome of a write that got a conflict, an error or no response.
    async fn determine_outcome(
        &self,
        change: &Change,
        conflict: bool,
        cause: &str,
    ) -> WriteOutcome {
        for _ in 0..MAX_READ_BACK_ATTEMPTS {
            match self.read(&change.key).await {
                Ok(Some(object)) if change_id(&object) == Some(change.change_id.as_str()) => {
                    return WriteOutcome::Written(version_of(&object));
                }
                Ok(current) if conflict => {
                    return WriteOutcome::Conflict(current.map_or(0, |o| version_of(&o)));
                }
                Ok(None) if change.value.is_none() => {
                    return WriteOutcome::Written(change.expected_version + 1);
                }
                // The write may still be in flight. Only its effect or a conflict is conclusive.
                Ok(_) | Err(_) => tokio::time::sleep(READ_BACK_INTERVAL).await,
            }
        }
        WriteOutcome::Unknown(format!("write to {}: {cause}", self.url))
    }

    async fn read(&self, key: &ObjectKey) -> Result<Option<DynamicObject>, PlatformError> {
        let api = self.api_in_namespace(key);
        match tokio::time::timeout(CALL_TIMEOUT, api.get_opt(&key.name)).await {
            Ok(Ok(object)) => Ok(object),
            Ok(Err(error)) => Err(self.error(PlatformStep::Read, error)),
            Err(_) => Err(self.error(PlatformStep::Read, "timed out")),
        }
    }
}

fn resource(kind: Kind) -> ApiResource {
    let kind_id = GroupVersionKind::gvk(API_GROUP, API_VERSION, kind.name());
    ApiResource::from_gvk_with_plural(&kind_id, kind.plural())
}

fn encode(change: &Change, value: &Declaration) -> DynamicObject {
    let annotations = [(CHANGE_ID_ANNOTATION.to_owned(), change.change_id.clone())];
    let version = (change.expected_version > 0).then(|| change.expected_version.to_string());
    let metadata = ObjectMeta {
        name: Some(change.key.name.clone()),
        namespace: Some(change.key.partner.to_string()),
        resource_version: version,
        annotations: Some(annotations.into_iter().collect()),
        ..ObjectMeta::default()
    };
    let spec = serde_json::from_str(&value.spec_json()).unwrap_or(serde_json::Value::Null);
    let types = TypeMeta {
        api_version: format!("{API_GROUP}/{API_VERSION}"),
        kind: change.key.kind.name().to_owned(),
    };
    DynamicObject { types: Some(types), metadata, data: serde_json::json!({ SPEC_FIELD: spec }) }
}

/// Decodes the declaration in an object. Returns `None` if it is malformed, as another writer may
/// have left it, so that the previous version stays in use.
fn decode(kind: Kind, object: &DynamicObject, deleted: bool) -> Option<VersionedObject> {
    let key = ObjectKey {
        partner: PartnerName::new(object.metadata.namespace.as_deref()?),
        kind,
        name: object.metadata.name.clone()?,
    };
    let version = version_of(object);
    if deleted {
        return Some(VersionedObject { key, version, value: None });
    }
    let spec = object.data.get(SPEC_FIELD)?.to_string();
    let value = Declaration::from_spec_json(kind, &spec).ok()?;
    Some(VersionedObject { key, version, value: Some(value) })
}

fn version_of(object: &DynamicObject) -> u64 {
    parse_version(object.metadata.resource_version.as_deref())
}

fn parse_version(version: Option<&str>) -> u64 {
    version.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn change_id(object: &DynamicObject) -> Option<&str> {
    object.metadata.annotations.as_ref()?.get(CHANGE_ID_ANNOTATION).map(String::as_str)
}
