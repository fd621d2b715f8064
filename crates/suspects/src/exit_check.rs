//! Tells the exit of a back end from a lost response, a reset connection or an unreachable host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use yokefall_serving::BackendIncarnation;

/// Timeout: many round trips between regions, but less than any timeout of a retryable request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks in progress, by incarnation: a connection refused by one says nothing about the next.
#[derive(Debug, Default)]
pub struct ExitChecks {
    checks: RefCell<HashMap<BackendIncarnation, Rc<OnceCell<bool>>>>,
}

impl ExitChecks {
    /// Whether the process at an address is gone; all requests that broke off share one check.
    /// Only a refused connection proves it: others accept or reset it, or do not respond.
    pub async fn has_exited(&self, backend: &BackendIncarnation, address: SocketAddr) -> bool {
        let check = self.checks.borrow_mut().entry(backend.clone()).or_default().clone();
        let has_exited = *check.get_or_init(|| refuses(address)).await;
        // A running one may crash later; one without a start time may be back after a crash.
        self.checks.borrow_mut().remove(backend);
        has_exited
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
