//! Whether a back end has ended: told apart from one that lost an answer, reset a connection, or can't be
//! reached.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use yokefall_serving::BackendIncarnation;

/// Longest time for the check: many round trips between regions, and below the least patience with a
/// request that may go to another back end.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks under way, by life of the back end: what refuses connections to one says nothing of the next.
#[derive(Debug, Default)]
pub struct EndChecks {
    checks: RefCell<HashMap<BackendIncarnation, Rc<OnceCell<bool>>>>,
}

impl EndChecks {
    /// Whether the process at an address is gone, asked once for all requests that broke off there.
    ///
    /// Only a refused connection proves it. A back end that lives takes one, or resets it later; one behind
    /// a cut says nothing.
    pub async fn has_ended(&self, backend: &BackendIncarnation, address: SocketAddr) -> bool {
        let check = self.checks.borrow_mut().entry(backend.clone()).or_default().clone();
        let has_ended = *check.get_or_init(|| refuses(address)).await;
        // One that lives may end later; one that tells no start and has ended may be back.
        self.checks.borrow_mut().remove(backend);
        has_ended
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
