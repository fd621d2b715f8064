//! How the end of a response body is marked.

use http::{header, HeaderMap, HeaderName, HeaderValue, Response};
use hyper::body::Body;

use crate::head::HeadError;

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

/// The fields that tell how a body ends.
const FRAMING_FIELDS: [HeaderName; 2] = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
const CHUNKED: &str = "chunked";
pub(crate) const KEEP_ALIVE: &str = "keep-alive";
/// Maximum number of changed, lost or added characters by which a name is taken for a damaged one. The
/// beginning of `Content-Language` differs from `Content-Length` by three.
const MAX_DAMAGE: usize = 2;

impl Framing {
    /// The framing of a response whose body has not been read.
    pub fn of(response: &Response<impl Body>) -> Result<Self, HeadError> {
        let headers = response.headers();
        let is_chunked = has_transfer_coding(headers)?;
        if is_chunked && headers.contains_key(header::CONTENT_LENGTH) {
            return Err(HeadError::LengthAndCoding);
        }
        if response.body().size_hint().exact().is_some() {
            return Ok(Framing::Length);
        }
        if is_chunked {
            return Ok(Framing::Chunked);
        }
        check_unframed(headers)?;
        Ok(Framing::Connection)
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

/// Whether the body is coded for transfer. Only chunks can be decoded, and no other coding is asked
/// for.
fn has_transfer_coding(headers: &HeaderMap) -> Result<bool, HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    match is_chunked(coding) && codings.next().is_none() {
        true => Ok(true),
        false => Err(HeadError::UnknownCoding),
    }
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes())
}

/// Checks that the end of the connection was meant to end the body: a field that tells of another end
/// may have been damaged, and no body ends with a connection that is kept.
fn check_unframed(headers: &HeaderMap) -> Result<(), HeadError> {
    if let Some((name, _)) = headers.iter().find(|(name, value)| is_damaged(name, value)) {
        return Err(HeadError::DamagedField(name.clone()));
    }
    match headers.contains_key(KEEP_ALIVE) {
        true => Err(HeadError::NoEnd),
        false => Ok(()),
    }
}

/// Whether the headers announce that the connection closes after the response.
pub fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Whether a field may be a framing field with a damaged name, or contain the line of one.
fn is_damaged(name: &HeaderName, value: &HeaderValue) -> bool {
    if is_chunked(value) {
        return true;
    }
    let value = String::from_utf8_lossy(value.as_bytes()).to_ascii_lowercase();
    let line = format!("{name}:{value}");
    FRAMING_FIELDS.iter().any(|field| {
        let field = field.as_str();
        begins_like(&line, field)
            || matches_mostly(name.as_str(), field)
            || value.contains(&format!("{field}:"))
    })
}

/// Whether the lines up to the first empty one contain a framing field, as the rest of a head does that
/// a damaged line has ended.
pub(crate) fn begins_with_framing(data: &[u8]) -> bool {
    let text = String::from_utf8_lossy(data).to_ascii_lowercase();
    let mut lines = text.lines().take_while(|line| !line.is_empty());
    lines.any(|line| FRAMING_FIELDS.iter().any(|field| begins_like(line, field.as_str())))
}

/// Whether a line begins with a name, but for a few characters that were changed, lost or added.
fn begins_like(line: &str, name: &str) -> bool {
    let beginning: String = line.chars().take(name.len()).collect();
    strsim::osa_distance(&beginning, name) <= MAX_DAMAGE
}

/// Whether a name has the length of another and half of its characters in their places.
fn matches_mostly(name: &str, other: &str) -> bool {
    let equal = name.bytes().zip(other.bytes()).filter(|(one, other)| one == other).count();
    name.len() == other.len() && equal * 2 >= other.len()
}
