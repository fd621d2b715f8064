//! One request/response exchange with a back end.

use std::fmt;

use bytes::Bytes;
use http::{HeaderName, Request, Response};
use http_body_util::Full;
use yokefall_serving::Permit;

use crate::body::{BackendBody, ExpectedBody};
use crate::head::check_head;
use crate::pool::Connection;

/// Why an exchange produced no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of the request was written.
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request may have been executed; the connection failed before the response.
    MayHaveRun {
        /// The cause.
        cause: String,
    },
    /// The request may have been executed. The back end answered, but the answer cannot be used.
    BadResponse {
        /// The cause.
        cause: String,
    },
}

impl SendFailure {
    fn bad_response(cause: impl fmt::Display) -> Self {
        SendFailure::BadResponse { cause: cause.to_string() }
    }

    /// Whether the back end may have terminated.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, SendFailure::MayHaveRun { .. })
    }
}

impl fmt::Display for SendFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendFailure::NotSent { cause } => write!(formatter, "send request: {cause}, not sent"),
            SendFailure::MayHaveRun { cause } => write!(formatter, "await answer: {cause}"),
            SendFailure::BadResponse { cause } => write!(formatter, "read answer: {cause}"),
        }
    }
}

/// Sends a request and waits for the response head. A response that does not carry the id of the
/// request belongs to another request; it is discarded together with the connection, and so is one
/// whose head cannot be relied upon. `id_header` is `None` where back ends do not echo request ids.
/// `expected` decides how the end of the body is judged. `permit` authorizes exactly this request;
/// with a permit for another back end, or for another incarnation of it, nothing is sent.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    id_header: Option<&HeaderName>,
    expected: ExpectedBody,
    permit: Permit,
) -> Result<Response<BackendBody>, SendFailure> {
    if *permit.incarnation() != connection.incarnation {
        let cause = "the connection is to another life of the back end".to_owned();
        return Err(SendFailure::NotSent { cause });
    }
    let id = id_header.and_then(|name| request.headers().get(name).cloned());
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let error = error.error();
            return Err(match unsent {
                true => SendFailure::NotSent { cause: error.to_string() },
                false if error.is_parse() => SendFailure::bad_response(error),
                false => SendFailure::MayHaveRun { cause: error.to_string() },
            });
        }
    };
    let named = id_header.and_then(|name| response.headers().get(name));
    // An error may be returned before the back end has read the id; a success without an id cannot
    // be attributed to any request.
    let is_own_response =
        named == id.as_ref() || (named.is_none() && !response.status().is_success());
    if !is_own_response {
        return Err(SendFailure::bad_response("it names another request"));
    }
    let framing = check_head(&response).map_err(SendFailure::bad_response)?;
    Ok(BackendBody::of(response, (framing, connection.surplus.clone()), expected))
}
