//! Determines whether the process of a back end is gone, as opposed to a lost response, a reset
//! connection or an unreachable host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use yokefall_serving::BackendIncarnation;

/// Timeout of the check: many round trips between regions, and shorter than the shortest timeout of
/// a request that may go to another back end.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks in progress, by incarnation of the back end: a refused connection to one incarnation says
/// nothing about the next.
#[derive(Debug, Default)]
pub struct ExitChecks {
    checks: RefCell<HashMap<BackendIncarnation, Rc<OnceCell<bool>>>>,
}

impl ExitChecks {
    /// Returns whether the process at an address is gone; all requests that broke off there share
    /// one check.
    ///
    /// Only a refused connection proves it. A running back end accepts one, or resets it later; one
    /// behind a network partition does not respond.
    pub async fn has_exited(&self, backend: &BackendIncarnation, address: SocketAddr) -> bool {
        let check = self.checks.borrow_mut().entry(backend.clone()).or_default().clone();
        let has_exited = *check.get_or_init(|| refuses(address)).await;
        // A running back end may crash later, and one that reports no start time may be back after
        // a crash.
        self.checks.borrow_mut().remove(backend);
        has_exited
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
