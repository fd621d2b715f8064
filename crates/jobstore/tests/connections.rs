//! Connections between members of the group that stop delivering data while new connections work.

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

/// Guards against a connection that stays open although nothing sent on it arrives: its bytes are
/// acknowledged and it is never reset, so that only a heartbeat without an answer reveals it.
/// Without heartbeats a member would receive nothing from the sender while both live.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
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
    let send_frame = || links.send("store-2", &Frame::Leader("store-1".into()));
    LocalSet::new()
        .run_until(async {
            let sending = async {
                loop {
                    send_frame();
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            };
            let receiving = async {
                let (silent, _) = listener.accept().await.expect("a connection");
                let (stream, _) = listener.accept().await.expect("a second connection");
                let mut frames = framed(stream);
                let mut received = 0;
                // The second connection answers and is kept.
                while received < 40 {
                    let bytes = frames.next().await.expect("a connection").expect("a frame");
                    match decode(&bytes).expect("a frame") {
                        Frame::Heartbeat => {
                            frames.send(encode(&Frame::Heartbeat)).await.expect("a write")
                        }
                        Frame::Leader(_) => received += 1,
                        _ => panic!("nothing else was sent"),
                    }
                }
                drop(silent);
            };
            let receiving = tokio::time::timeout(Duration::from_secs(20), receiving);
            tokio::select! {
                () = sending => {}
                received = receiving => received.expect("the limit only ends a test that hangs"),
            }
        })
        .await;
}
