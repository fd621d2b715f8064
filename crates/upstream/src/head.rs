//! Whether the head of a response can be relied upon. One that cannot be understood tells neither the
//! outcome of the request nor the end of the body.

use std::fmt;

use http::{header, HeaderMap, Response, StatusCode};

/// Why the head of a response cannot be relied upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The status is not one of a final response (RFC 9110, section 15).
    Status(StatusCode),
    /// The status excludes a body, of which the head tells the length.
    BodyWithoutContent(StatusCode),
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
        }
    }
}

impl std::error::Error for HeadError {}

/// Checks the head of a response.
pub fn check_head<B>(response: &Response<B>) -> Result<(), HeadError> {
    let status = response.status();
    if !(200..=599).contains(&status.as_u16()) {
        return Err(HeadError::Status(status));
    }
    if status == StatusCode::NO_CONTENT && announces_body(response.headers()) {
        return Err(HeadError::BodyWithoutContent(status));
    }
    Ok(())
}

fn announces_body(headers: &HeaderMap) -> bool {
    let length = headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|length| length != "0") || headers.contains_key(header::TRANSFER_ENCODING)
}
