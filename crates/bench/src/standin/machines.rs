//! The machine list stand-in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;
use yokefall_objects::machines::MACHINES_PATH;
use yokefall_objects::{Machine, MachineListing, MachineState};

use super::http::{full_response, json, read_json, Body, HttpServer, ResponseFuture};

/// A running machine list.
pub struct MachineList {
    /// The server.
    pub server: Arc<HttpServer>,
    state: Arc<Mutex<MachineListing>>,
}

/// A change of one machine, as `PUT` carries it.
#[derive(Deserialize)]
struct MachineChange {
    name: String,
    state: MachineState,
}

impl MachineList {
    /// Serves the list; `PUT` of `{"name", "state"}` changes it after `lag`.
    pub async fn start(address: SocketAddr, lag: Duration) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(MachineListing { revision: 1, machines: Vec::new() }));
        let held = state.clone();
        let handler = move |request: http::Request<hyper::body::Incoming>| {
            let state = held.clone();
            let future: ResponseFuture = Box::pin(answer(state, lag, request));
            future
        };
        Ok(Self { server: HttpServer::start(address, Arc::new(handler)).await?, state })
    }

    /// Sets the state of a machine, which is added when it is new.
    pub fn set(&self, name: &str, state: MachineState) {
        set(&self.state, name, state);
    }
}

fn set(listing: &Mutex<MachineListing>, name: &str, state: MachineState) {
    let mut listing = listing.lock().unwrap_or_else(PoisonError::into_inner);
    listing.revision += 1;
    let revision = listing.revision;
    match listing.machines.iter_mut().find(|machine| machine.name == name) {
        Some(machine) if machine.state == state => {}
        Some(machine) => {
            machine.state = state;
            machine.revision = revision;
        }
        None => listing.machines.push(Machine { name: name.to_owned(), state, revision }),
    }
}

async fn answer(
    state: Arc<Mutex<MachineListing>>,
    lag: Duration,
    request: http::Request<hyper::body::Incoming>,
) -> http::Response<Body> {
    if request.uri().path() != MACHINES_PATH {
        return full_response(StatusCode::NOT_FOUND, "not found");
    }
    if request.method() == Method::PUT {
        return match read_json::<MachineChange>(request).await {
            Ok(change) => {
                tokio::spawn(async move {
                    tokio::time::sleep(lag).await;
                    set(&state, &change.name, change.state);
                });
                full_response(StatusCode::ACCEPTED, "")
            }
            Err(response) => *response,
        };
    }
    let listing = state.lock().unwrap_or_else(PoisonError::into_inner).clone();
    json(StatusCode::OK, &listing)
}
