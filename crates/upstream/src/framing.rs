//! How the end of a response body is marked.

use http::{header, HeaderMap, Response};
use hyper::body::Body;

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the number of bytes, which the head tells.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, as is a body that broke off.
    Connection,
}

impl Framing {
    /// The framing of a response whose body has not been read.
    pub fn of(response: &Response<impl Body>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Framing::Length;
        }
        match is_chunked(response.headers()) {
            true => Framing::Chunked,
            false => Framing::Connection,
        }
    }

    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Connection => "connection",
        }
    }
}

/// Whether "chunked" is the last transfer coding; otherwise the connection ends the body.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).into_iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
