//! Whether the head of a response can be relied upon. One that cannot be understood tells neither the
//! outcome of the request nor the end of the body.

use std::fmt;

use http::{header, HeaderMap, HeaderName, Response, StatusCode};
use hyper::body::Body;

use crate::framing::Framing;

/// Why the head of a response cannot be relied upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The status is not one of a final response (RFC 9110, section 15).
    Status(StatusCode),
    /// The status excludes a body, of which the head tells the length.
    BodyWithoutContent(StatusCode),
    /// The body has a transfer coding that cannot be decoded.
    UnknownCoding,
    /// The head tells both a length and a transfer coding, which may be a smuggled response
    /// (RFC 9112, section 6.3).
    LengthAndCoding,
    /// Nothing tells how the body ends but a field that seems to be damaged.
    DamagedField(HeaderName),
    /// Nothing tells how the body ends, and the back end keeps the connection.
    NoEnd,
}

impl fmt::Display for HeadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadError::Status(status) => {
                write!(formatter, "status {} of no final response", status.as_u16())
            }
            HeadError::BodyWithoutContent(status) => {
                write!(formatter, "status {} with a body", status.as_u16())
            }
            HeadError::UnknownCoding => write!(formatter, "unknown transfer coding"),
            HeadError::LengthAndCoding => write!(formatter, "both a length and a transfer coding"),
            HeadError::DamagedField(name) => {
                write!(formatter, "no length, and the field {name} seems to be damaged")
            }
            HeadError::NoEnd => write!(formatter, "no length, and the connection is kept"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Checks the head of a response whose body has not been read; returns how its end is marked.
pub fn check_head(response: &Response<impl Body>) -> Result<Framing, HeadError> {
    let status = response.status();
    if !(200..=599).contains(&status.as_u16()) {
        return Err(HeadError::Status(status));
    }
    if status == StatusCode::NO_CONTENT && announces_body(response.headers()) {
        return Err(HeadError::BodyWithoutContent(status));
    }
    Framing::of(response)
}

fn announces_body(headers: &HeaderMap) -> bool {
    let length = headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|length| length != "0") || headers.contains_key(header::TRANSFER_ENCODING)
}
