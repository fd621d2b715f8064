//! Answers of plain services whose head is spoilt where it tells how the body ends, or in its status.
//!
//! Guards against a part of an answer that is stored as the whole one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yokefall_backend::{BackendClient, BackendStep};

const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers one request with these bytes, and closes the connection.
async fn service(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        stream.write_all(answer.as_bytes()).await.expect("a write");
    });
    address
}

async fn call(head: &str, body: &str) -> Result<Vec<u8>, BackendStep> {
    let address = service(format!("HTTP/1.1 {head}\r\n\r\n{body}")).await.to_string();
    let client = BackendClient::new(STALL_TIMEOUT);
    let answer = client.call_plain(&address, "r-1", 1, Bytes::from_static(b"b")).await;
    answer.map_err(|error| error.step)
}

#[tokio::test]
async fn an_answer_with_a_spoilt_head_is_none() {
    for head in [
        "200 OK\r\nContent-Lengti: 12",
        "200 OK\r\nTransfer-Encodinh: chunked",
        "200 OK\r\nTransfer-Encoding: chunkee",
        "200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 6",
        "999 OK\r\nContent-Length: 6",
        "204 OK\r\nContent-Length: 6",
    ] {
        assert_eq!(
            call(head, "6\r\na half\r\n0\r\n\r\n").await,
            Err(BackendStep::Request),
            "{head}"
        );
    }
}

/// The rest of the body comes after the length that the head tells.
#[tokio::test]
async fn an_answer_that_is_longer_than_its_length_is_none() {
    let answer = call("200 OK\r\nContent-Length: 4", "a whole answer").await;
    assert!(answer.is_err(), "{answer:?}");
}

/// A status that tells that nothing was executed proves nothing in a head that is spoilt.
#[tokio::test]
async fn a_spoilt_refusal_does_not_prove_that_the_call_was_not_executed() {
    let head = "503 Service Unavailable\r\nTransfer-Encoding: chunked\r\nContent-Length: 0";
    assert_eq!(call(head, "0\r\n\r\n").await, Err(BackendStep::Request));
}

#[tokio::test]
async fn sound_answers_are_whole_however_they_end() {
    let whole = Ok(b"whole".to_vec());
    assert_eq!(call("200 OK\r\nContent-Length: 5", "whole").await, whole);
    assert_eq!(call("200 OK\r\nConnection: close", "whole").await, whole);
    let chunked = call("200 OK\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n").await;
    assert_eq!(chunked, whole);
}

#[tokio::test]
async fn an_answer_with_an_odd_status_is_none() {
    for status in ["000 OK", "099 OK", "20 OK", "2000 OK", "2x0 OK", "101 OK", "600 OK"] {
        let answer = call(&format!("{status}\r\nContent-Length: 5"), "whole").await;
        assert!(answer.is_err(), "{status}: {answer:?}");
    }
}

/// The service stops in the middle of the head and closes the connection.
#[tokio::test]
async fn an_answer_whose_head_is_cut_off_is_none() {
    for framing in ["Content-Length: 5", "Connection: close", "Transfer-Encoding: chunked"] {
        let head = format!("HTTP/1.1 200 OK\r\nServer: s\r\n{framing}\r\n\r\n");
        for cut in 0..head.len() {
            let address = service(head[..cut].to_owned()).await.to_string();
            let client = BackendClient::new(STALL_TIMEOUT);
            let answer = client.call_plain(&address, "r-1", 1, Bytes::from_static(b"b")).await;
            assert!(answer.is_err(), "{:?}: {answer:?}", &head[..cut]);
        }
    }
}
