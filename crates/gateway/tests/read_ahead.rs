//! Responses of slow clients are read to their end, within a limit over all clients.
//!
//! Guards against reading a response only at the client's pace: a back end keeps an unread response
//! in its own memory and aborts one that its client leaves unread for some seconds.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use yokefall_gateway::read_ahead::{watch, ReadAhead};
use yokefall_gateway::response::{ChunkStream, ResponseAborted};

const CHUNK_BYTES: usize = 1_000;
/// Longer than a client may read nothing before it counts as slow.
const SLOW_CLIENT_PAUSE: Duration = Duration::from_secs(3);

/// How far a response has been read, and whether its connection is closed.
#[derive(Default)]
struct UpstreamState {
    read: Cell<usize>,
    closed: Cell<bool>,
}

struct CloseOnDrop(Rc<UpstreamState>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.closed.set(true);
    }
}

/// A response of `chunks` chunks, each filled with its index; it may abort after the last.
fn response(source: &Rc<UpstreamState>, chunks: usize, breaks: bool) -> ChunkStream {
    let open = CloseOnDrop(source.clone());
    let stream = futures::stream::unfold((0, open), move |(index, open)| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        open.0.read.set(index);
        match index {
            index if index < chunks => {
                Some((Ok(Bytes::from(vec![index as u8; CHUNK_BYTES])), (index + 1, open)))
            }
            index if breaks && index == chunks => {
                Some((Err(ResponseAborted("reset".into())), (index + 1, open)))
            }
            _ => None,
        }
    });
    Box::pin(stream)
}

/// Indices of the remaining chunks, and whether the response was aborted.
async fn rest(
    mut chunks: impl Stream<Item = Result<Bytes, ResponseAborted>> + Unpin,
) -> (Vec<u8>, bool) {
    let mut indices = Vec::new();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => indices.push(chunk[0]),
            Err(_) => return (indices, true),
        }
    }
    (indices, false)
}

async fn run_local<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::task::LocalSet::new().run_until(test).await
}

fn start_read_ahead(max_bytes: usize) -> Rc<ReadAhead> {
    let read_ahead = ReadAhead::new(max_bytes);
    tokio::task::spawn_local(watch(read_ahead.clone()));
    read_ahead
}

#[tokio::test(start_paused = true)]
async fn a_response_is_read_to_its_end_for_a_client_that_reads_nothing() {
    run_local(async {
        let (read_ahead, source) = (start_read_ahead(1_000_000), Rc::new(UpstreamState::default()));
        let mut chunks = read_ahead.relay(response(&source, 20, false));
        chunks.next().await.expect("a first chunk").expect("not aborted");
        tokio::time::sleep(SLOW_CLIENT_PAUSE).await;
        assert_eq!(source.read.get(), 20, "chunks read");
        assert!(source.closed.get(), "the connection to the back end is still open");
        assert_eq!(read_ahead.buffered_bytes(), 19 * CHUNK_BYTES);
        assert_eq!(rest(chunks).await, ((1..20).collect(), false));
        assert_eq!(read_ahead.buffered_bytes(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_aborted_response_is_aborted_for_a_slow_client_too() {
    run_local(async {
        let (read_ahead, source) = (start_read_ahead(1_000_000), Rc::new(UpstreamState::default()));
        let mut chunks = read_ahead.relay(response(&source, 5, true));
        chunks.next().await.expect("a first chunk").expect("not aborted");
        tokio::time::sleep(SLOW_CLIENT_PAUSE).await;
        assert_eq!(rest(chunks).await, ((1..5).collect(), true));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_read_ahead_for_a_client_that_keeps_reading() {
    run_local(async {
        let (read_ahead, source) = (start_read_ahead(1_000_000), Rc::new(UpstreamState::default()));
        let mut chunks = read_ahead.relay(response(&source, 50, false));
        for index in 0..50 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(chunks.next().await.expect("a chunk").expect("not aborted")[0], index);
            assert!(source.read.get() <= usize::from(index) + 1);
            assert_eq!(read_ahead.buffered_bytes(), 0);
        }
    })
    .await;
}

/// A back end that sends nothing does not make its client slow.
#[tokio::test(start_paused = true)]
async fn a_client_that_waits_for_the_back_end_is_not_slow() {
    run_local(async {
        let read_ahead = start_read_ahead(1_000_000);
        let silent = futures::stream::once(async {
            tokio::time::sleep(SLOW_CLIENT_PAUSE).await;
            Ok(Bytes::from_static(b"late"))
        });
        let chunks = read_ahead.relay(Box::pin(silent));
        assert_eq!(rest(chunks).await, (vec![b'l'], false));
        assert_eq!(read_ahead.buffered_bytes(), 0);
    })
    .await;
}

/// 300 clients read nothing: buffers are bounded; each response continues once its client reads.
#[tokio::test(start_paused = true)]
async fn buffered_bytes_of_all_clients_are_bounded() {
    const MAX_BYTES: usize = 100_000;
    run_local(async {
        let read_ahead = start_read_ahead(MAX_BYTES);
        let mut slow = Vec::new();
        for _ in 0..300 {
            let mut chunks = read_ahead.relay(response(&Rc::default(), 20, false));
            chunks.next().await.expect("a first chunk").expect("not aborted");
            slow.push(chunks);
        }
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            // One more chunk for each client, since its response must make progress.
            assert!(
                read_ahead.buffered_bytes() <= MAX_BYTES + 300 * CHUNK_BYTES,
                "{}",
                read_ahead.buffered_bytes()
            );
        }
        for chunks in slow {
            assert_eq!(rest(chunks).await, ((1..20).collect(), false));
        }
        assert_eq!(read_ahead.buffered_bytes(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_client_that_disconnects_closes_its_response() {
    run_local(async {
        let (read_ahead, source) = (start_read_ahead(1_000_000), Rc::new(UpstreamState::default()));
        let mut chunks = read_ahead.relay(response(&source, 1_000, false));
        chunks.next().await.expect("a first chunk").expect("not aborted");
        tokio::time::sleep(SLOW_CLIENT_PAUSE).await;
        let read = source.read.get();
        assert!(!source.closed.get() && read > 20 && read < 1_000, "{read} chunks read");
        drop(chunks);
        assert!(source.closed.get(), "the connection to the back end is still open");
        assert_eq!(read_ahead.buffered_bytes(), 0);
    })
    .await;
}
