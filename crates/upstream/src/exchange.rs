//! One exchange with a back end.

use std::fmt;

use bytes::Bytes;
use http::{HeaderName, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use yokefall_serving::Permit;

use crate::pool::Connection;

/// Why an exchange gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing of the request was written.
    NotSent {
        /// The cause.
        cause: String,
    },
    /// The request may have run.
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

/// Sends a request and waits for the head of its answer. An answer that does not name the request
/// belongs to another one: it is not taken, and the connection is dropped with it. `id_header` is
/// `None` where back ends do not name requests. `permit` is the right to send just this request; one for another
/// back end, or for another life of it, sends nothing.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    id_header: Option<&HeaderName>,
    permit: Permit,
) -> Result<Response<Incoming>, SendFailure> {
    if *permit.incarnation() != connection.incarnation {
        let cause = "the connection is to another life of the back end".to_owned();
        return Err(SendFailure::NotSent { cause });
    }
    let id = id_header.and_then(|name| request.headers().get(name).cloned());
    let answer = match connection.sender.try_send_request(request).await {
        Ok(answer) => answer,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let cause = error.error().to_string();
            return Err(match unsent {
                true => SendFailure::NotSent { cause },
                false => SendFailure::MayHaveRun { cause },
            });
        }
    };
    let named = id_header.and_then(|name| answer.headers().get(name));
    // A refusal may come before the back end has read the id; a success without one is nobody's.
    let own = named == id.as_ref() || (named.is_none() && !answer.status().is_success());
    if !own {
        let cause = "the answer names another request".to_owned();
        return Err(SendFailure::MayHaveRun { cause });
    }
    Ok(answer)
}
