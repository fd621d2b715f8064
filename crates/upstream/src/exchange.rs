//! One request/response exchange with a back end.

use std::fmt;

use bytes::Bytes;
use http::{HeaderName, Request, Response};
use http_body_util::Full;
use yokefall_serving::Permit;

use crate::body::{BackendBody, ExpectedBody};
use crate::pool::Connection;

/// Why an exchange produced no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of the request was written.
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request may have been executed.
    MayHaveRun {
        /// The cause.
        cause: String,
    },
}

impl fmt::Display for SendFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendFailure::NotSent { cause } => write!(formatter, "send request: {cause}, not sent"),
            SendFailure::MayHaveRun { cause } => write!(formatter, "await answer: {cause}"),
        }
    }
}

/// Sends a request and waits for the response head. A response that does not carry the id of the
/// request belongs to another request: it is discarded together with the connection. `id_header` is
/// `None` where back ends do not echo request ids. `expected` decides how the end of the body is
/// judged. `permit` authorizes exactly this request; with a
/// permit for another back end, or for another incarnation of it, nothing is sent.
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
            let cause = error.error().to_string();
            return Err(match unsent {
                true => SendFailure::NotSent { cause },
                false => SendFailure::MayHaveRun { cause },
            });
        }
    };
    let named = id_header.and_then(|name| response.headers().get(name));
    // An error may be returned before the back end has read the id; a success without an id cannot
    // be attributed to any request.
    let is_own_response =
        named == id.as_ref() || (named.is_none() && !response.status().is_success());
    if !is_own_response {
        let cause = "the answer names another request".to_owned();
        return Err(SendFailure::MayHaveRun { cause });
    }
    Ok(BackendBody::of(response, expected))
}
