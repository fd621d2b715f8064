//! Ends of events in a stream, however its bytes are split.

use quickcheck::quickcheck;
use yokefall_upstream::{EventBoundaries, StreamPosition};

fn read_all(pieces: &[&[u8]]) -> EventBoundaries {
    let mut boundaries = EventBoundaries::default();
    for piece in pieces {
        boundaries.read(piece);
    }
    boundaries
}

#[test]
fn streams_that_end_between_events_are_whole() {
    let whole: [&[u8]; 9] = [
        b"",
        b"id: 1\ndata: a\n\n",
        b"id: 1\r\ndata: a\r\n\r\n",
        b"id: 1\r\ndata: a\r\n\r",
        b"id: 1\rdata: a\r\r",
        b"data: a\n\n: a comment\n",
        b": a comment\n",
        b"data: a\n\n\n\n",
        b"weight-versions: 2\nid: 1\ndata: a\n\n",
    ];
    for stream in whole {
        assert!(!read_all(&[stream]).is_within_event(), "{:?}", String::from_utf8_lossy(stream));
    }
}

#[test]
fn streams_that_end_within_an_event_or_a_line_are_cut() {
    let cut: [&[u8]; 8] = [
        b"id: 1\ndata: a\n",
        b"id: 1\ndata: a",
        b"id: 1\r\ndata: a\r\n",
        b"id: 1\rdata: a\r",
        b"id: 1\ndata: a\n\ni",
        b"data: a\n\n: a comm",
        b"data: a\n: a comment\n",
        b"data: a\n\nid: 2\n",
    ];
    for stream in cut {
        assert!(read_all(&[stream]).is_within_event(), "{:?}", String::from_utf8_lossy(stream));
    }
}

/// Seen: the line feed came with the next chunk, and was lost where the stream went on elsewhere.
#[test]
fn an_event_ends_with_both_characters_of_its_line_end() {
    let mut boundaries = EventBoundaries::default();
    assert_eq!(boundaries.read(b"id: 1\r\ndata: a\r\n\r\nid"), Some(18));
    assert_eq!(boundaries.read(b": 2\r\ndata: b\r\n\r\n"), Some(16));
    assert_eq!(boundaries.read(b"\r\n"), Some(2));
}

#[test]
fn the_end_of_the_last_event_is_found() {
    let mut boundaries = EventBoundaries::default();
    assert_eq!(boundaries.read(b"data: a\n"), None);
    assert_eq!(boundaries.read(b"\ndata: b\n\nda"), Some(10));
    assert_eq!(boundaries.read(b"ta: c\r\n\r"), Some(8));
    // This line feed belongs to the line that ended with the carriage return.
    assert_eq!(boundaries.read(b"\n"), None);
    assert!(!boundaries.is_within_event());
}

#[test]
fn the_position_is_the_id_of_the_last_event_with_data() {
    let after = |events: &str| StreamPosition::after(events.as_bytes());
    assert_eq!(after("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), StreamPosition::After(2));
    assert_eq!(after("id: 3\rdata: a\r\r"), StreamPosition::After(3));
    assert_eq!(after("id: 4\r\ndata: a\r\n\r\n: a comment\r\n\r\n"), StreamPosition::After(4));
    assert_eq!(after(": a comment\n\n"), StreamPosition::Unchanged);
    assert_eq!(after("id: 1\ndata: a\n\ndata: b\n\n"), StreamPosition::Unknown);
    assert_eq!(after("id: x\ndata: a\n\n"), StreamPosition::Unknown);
}

quickcheck! {
    /// Where the bytes are split decides nothing.
    fn splits_do_not_matter(symbols: Vec<u8>, split: usize) -> bool {
        let stream: Vec<u8> = symbols.iter().map(|symbol| b"\n\r:a"[*symbol as usize % 4]).collect();
        let (first, second) = stream.split_at(split % (stream.len() + 1));
        let (mut whole, mut parts) = (EventBoundaries::default(), EventBoundaries::default());
        let end = whole.read(&stream);
        let first_end = parts.read(first);
        let second_end = parts.read(second).map(|end| first.len() + end);
        end == second_end.or(first_end) && whole.is_within_event() == parts.is_within_event()
    }

    /// The rest after the last event is within an event only if it has a field or a part of a line.
    fn what_is_before_an_end_is_whole(symbols: Vec<u8>) -> bool {
        let stream: Vec<u8> = symbols.iter().map(|symbol| b"\n\r:a"[*symbol as usize % 4]).collect();
        let mut boundaries = EventBoundaries::default();
        boundaries.read(&stream).is_none_or(|end| !read_all(&[&stream[..end]]).is_within_event())
    }
}
