//! Connections between members of the group that go silent for good, while new ones work.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use yokefall_jobstore::addresses::Addresses;
use yokefall_jobstore::connections::Links;
use yokefall_jobstore::protocol::{decode, encode, framed, Frame};
use yokefall_serving::{Fleet, FleetMember};

/// Symptom: a member hears nothing of another one for as long as both live. Sequence: the connection on which
/// one sends goes silent, without a reset; what it sends is acknowledged, and reaches nobody. Cause: nothing was
/// ever read on it, and only a failed write ended it.
#[tokio::test]
async fn a_connection_that_goes_silent_is_made_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let member = FleetMember {
        name: "store-2".into(),
        address: listener.local_addr().expect("an address"),
        zone: "hall-1".into(),
        job_store: true,
        accepting: true,
    };
    let fleet =
        Arc::new(ArcSwap::from_pointee(Fleet { members: vec![member], ..Fleet::default() }));
    let links = Links::new(fleet, Addresses::new());
    let told = || links.send("store-2", &Frame::Leader("store-1".into()));
    LocalSet::new()
        .run_until(async {
            let sending = async {
                loop {
                    told();
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            };
            let hearing = async {
                let (silent, _) = listener.accept().await.expect("a connection");
                let (stream, _) = listener.accept().await.expect("a second connection");
                let mut frames = framed(stream);
                let mut heard = 0;
                // The second one answers, and is kept.
                while heard < 40 {
                    let bytes = frames.next().await.expect("a connection").expect("a frame");
                    match decode(&bytes).expect("a frame") {
                        Frame::Heartbeat => {
                            frames.send(encode(&Frame::Heartbeat)).await.expect("a write")
                        }
                        Frame::Leader(_) => heard += 1,
                        _ => panic!("nothing else was sent"),
                    }
                }
                drop(silent);
            };
            let hearing = tokio::time::timeout(Duration::from_secs(20), hearing);
            tokio::select! {
                () = sending => {}
                heard = hearing => heard.expect("the limit only ends a test that hangs"),
            }
        })
        .await;
}
