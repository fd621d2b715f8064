//! Boundaries of the events in an event stream (WHATWG HTML, section "Server-sent events").

/// The line that is being read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of it has been read.
    #[default]
    Start,
    /// Nothing, and the line before ended with CR, so that a following LF belongs to it.
    StartAfterCr,
    /// A part of a comment or of a field.
    Text,
}

/// Finds the ends of events, whose lines end with LF, CRLF or CR. The bytes may be split anywhere.
#[derive(Clone, Debug, Default)]
pub struct EventBoundaries {
    line: Line,
    /// Whether fields have been read since the last empty line.
    is_event_open: bool,
}

impl EventBoundaries {
    /// Reads the next bytes. Returns the position after the last empty line in them, with both
    /// characters of its end if they are at hand.
    pub fn read(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last_end = None;
        for (position, byte) in bytes.iter().enumerate() {
            let is_second_of_end =
                last_end == Some(position) && *byte == b'\n' && self.line == Line::StartAfterCr;
            if self.read_byte(*byte) || is_second_of_end {
                last_end = Some(position + 1);
            }
        }
        last_end
    }

    /// Whether an end of the stream here would cut an event or a line.
    pub fn is_within_event(&self) -> bool {
        self.is_event_open || self.line == Line::Text
    }

    /// Reads a byte. Returns whether it ends an empty line.
    fn read_byte(&mut self, byte: u8) -> bool {
        let ends_line = match byte {
            // The line ended with the CR before it.
            b'\n' if self.line == Line::StartAfterCr => {
                self.line = Line::Start;
                return false;
            }
            b'\n' | b'\r' => true,
            _ => false,
        };
        if !ends_line {
            let is_comment = self.line != Line::Text && byte == b':';
            self.is_event_open |= self.line != Line::Text && !is_comment;
            self.line = Line::Text;
            return false;
        }
        let is_empty = self.line != Line::Text;
        self.line = if byte == b'\r' { Line::StartAfterCr } else { Line::Start };
        if is_empty {
            self.is_event_open = false;
        }
        is_empty
    }
}

/// What complete events tell about the position in their stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamPosition {
    /// They contain no data.
    Unchanged,
    /// The last of them has this id.
    After(u64),
    /// The last of them has no numeric id, so that the stream cannot be resumed after it.
    Unknown,
}

impl StreamPosition {
    /// The position after complete events.
    pub fn after(events: &[u8]) -> Self {
        let mut position = StreamPosition::Unchanged;
        let (mut id, mut has_data) = (None, false);
        for line in lines(events) {
            if line.is_empty() {
                if has_data {
                    position = id.map_or(StreamPosition::Unknown, StreamPosition::After);
                }
                (id, has_data) = (None, false);
            }
            has_data |= line.starts_with(b"data");
            if let Some(value) = line.strip_prefix(b"id:") {
                id = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
            }
        }
        position
    }
}

/// The complete lines in `bytes`, without their ends.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let end = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let line = &rest[..end];
        let is_crlf = rest[end..].starts_with(b"\r\n");
        rest = &rest[end + if is_crlf { 2 } else { 1 }..];
        Some(line)
    })
}
