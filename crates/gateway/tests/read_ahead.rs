//! Answers for clients that read slowly: they are read to their end, within a bound over all clients.
//!
//! What happened without it: an answer was read as its client took it, so that one which a client left for some seconds
//! was cut off by its back end, which holds it in its own memory until then.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use yokefall_gateway::answer::{BrokenAnswer, Pieces};
use yokefall_gateway::read_ahead::{watch, ReadAhead};

const PIECE_BYTES: usize = 1_000;
/// Longer than a client may take nothing before it counts as slow.
const LONG: Duration = Duration::from_secs(3);

/// How far an answer has been read, and whether its connection is open.
#[derive(Default)]
struct Source {
    read: Cell<usize>,
    closed: Cell<bool>,
}

struct CloseOnDrop(Rc<Source>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.closed.set(true);
    }
}

/// An answer of so many pieces, each of which names its place; it may break off after the last.
fn answer(source: &Rc<Source>, pieces: usize, breaks: bool) -> Pieces {
    let open = CloseOnDrop(source.clone());
    let stream = futures::stream::unfold((0, open), move |(slot, open)| async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        open.0.read.set(slot);
        match slot {
            slot if slot < pieces => {
                Some((Ok(Bytes::from(vec![slot as u8; PIECE_BYTES])), (slot + 1, open)))
            }
            slot if breaks && slot == pieces => {
                Some((Err(BrokenAnswer("reset".into())), (slot + 1, open)))
            }
            _ => None,
        }
    });
    Box::pin(stream)
}

/// The places of the pieces that are still to be taken, and whether the answer breaks off.
async fn rest(
    mut pieces: impl Stream<Item = Result<Bytes, BrokenAnswer>> + Unpin,
) -> (Vec<u8>, bool) {
    let mut balancer = Vec::new();
    while let Some(piece) = pieces.next().await {
        match piece {
            Ok(piece) => balancer.push(piece[0]),
            Err(_) => return (balancer, true),
        }
    }
    (balancer, false)
}

async fn locally<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::task::LocalSet::new().run_until(test).await
}

fn started(most_bytes: usize) -> Rc<ReadAhead> {
    let ahead = ReadAhead::new(most_bytes);
    tokio::task::spawn_local(watch(ahead.clone()));
    ahead
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_read_to_its_end_though_its_client_takes_nothing() {
    locally(async {
        let (ahead, source) = (started(1_000_000), Rc::new(Source::default()));
        let mut pieces = ahead.pass(answer(&source, 20, false));
        pieces.next().await.expect("a first piece").expect("whole");
        tokio::time::sleep(LONG).await;
        assert_eq!(source.read.get(), 20, "pieces were read");
        assert!(source.closed.get(), "the back end is done with it");
        assert_eq!(ahead.held_bytes(), 19 * PIECE_BYTES);
        assert_eq!(rest(pieces).await, ((1..20).collect(), false));
        assert_eq!(ahead.held_bytes(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn one_that_breaks_off_breaks_off_for_a_slow_client_too() {
    locally(async {
        let (ahead, source) = (started(1_000_000), Rc::new(Source::default()));
        let mut pieces = ahead.pass(answer(&source, 5, true));
        pieces.next().await.expect("a first piece").expect("whole");
        tokio::time::sleep(LONG).await;
        assert_eq!(rest(pieces).await, ((1..5).collect(), true));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_client_that_reads_is_read_for_no_further_than_it_takes() {
    locally(async {
        let (ahead, source) = (started(1_000_000), Rc::new(Source::default()));
        let mut pieces = ahead.pass(answer(&source, 50, false));
        for slot in 0..50 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(pieces.next().await.expect("a piece").expect("whole")[0], slot);
            assert!(source.read.get() <= usize::from(slot) + 1);
            assert_eq!(ahead.held_bytes(), 0);
        }
    })
    .await;
}

/// A back end that says nothing is no client that takes nothing.
#[tokio::test(start_paused = true)]
async fn a_client_that_waits_for_the_back_end_is_not_slow() {
    locally(async {
        let ahead = started(1_000_000);
        let quiet = futures::stream::once(async {
            tokio::time::sleep(LONG).await;
            Ok(Bytes::from_static(b"late"))
        });
        let pieces = ahead.pass(Box::pin(quiet));
        assert_eq!(rest(pieces).await, (vec![b'l'], false));
        assert_eq!(ahead.held_bytes(), 0);
    })
    .await;
}

/// 300 clients that take nothing on one gateway: what it holds for them has a bound, and each goes on once it reads.
#[tokio::test(start_paused = true)]
async fn what_is_held_for_all_clients_has_a_bound() {
    const MOST_BYTES: usize = 100_000;
    locally(async {
        let ahead = started(MOST_BYTES);
        let mut slow = Vec::new();
        for _ in 0..300 {
            let mut pieces = ahead.pass(answer(&Rc::default(), 20, false));
            pieces.next().await.expect("a first piece").expect("whole");
            slow.push(pieces);
        }
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            // One piece more for each client: its answer must go on.
            assert!(ahead.held_bytes() <= MOST_BYTES + 300 * PIECE_BYTES, "{}", ahead.held_bytes());
        }
        for pieces in slow {
            assert_eq!(rest(pieces).await, ((1..20).collect(), false));
        }
        assert_eq!(ahead.held_bytes(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_client_that_leaves_takes_its_answer_along() {
    locally(async {
        let (ahead, source) = (started(1_000_000), Rc::new(Source::default()));
        let mut pieces = ahead.pass(answer(&source, 1_000, false));
        pieces.next().await.expect("a first piece").expect("whole");
        tokio::time::sleep(LONG).await;
        let read = source.read.get();
        assert!(!source.closed.get() && read > 20 && read < 1_000, "{read} pieces were read");
        drop(pieces);
        assert!(source.closed.get(), "the connection to the back end is closed at once");
        assert_eq!(ahead.held_bytes(), 0);
    })
    .await;
}
