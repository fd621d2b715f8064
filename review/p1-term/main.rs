//! A gateway gets SIGTERM while clients read pages of results. Does it send them to their end?

#[path = "../standins-3/kit.rs"]
mod kit;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kit::*;

const ITEMS: usize = 15;
/// The text of an item: 60 pieces of about 260 bytes.
const EVENTS: u64 = 60;
const JOB: &str = "7c41e09b52d6a3f8";
/// What a client reads in a second: a line of 2 Mbit/s.
const BYTES_PER_SECOND: usize = 250_000;
const READ_INTERVAL: Duration = Duration::from_millis(250);

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects as over Ethernet: segments of 1,448 bytes, in place of the 64 KB of loopback, and a
/// small window.
fn connect_over_ethernet(address: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(v4) = address else { return None };
    unsafe {
        let fd = socket(2, 1, 0);
        let (segment, window) = (1_448, 16_384);
        setsockopt(fd, 6, 2, &segment, 4);
        setsockopt(fd, 1, 8, &window, 4);
        let mut raw = [0u8; 16];
        raw[..2].copy_from_slice(&2u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        let stream = TcpStream::from_raw_fd(fd);
        (connect(fd, raw.as_ptr(), 16) == 0).then_some(stream)
    }
}

/// Reads at the speed of the client's line.
struct Line {
    stream: TcpStream,
    began: Instant,
    bytes: usize,
}

impl Read for Line {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let due = Duration::from_secs_f64(self.bytes as f64 / BYTES_PER_SECOND as f64);
        if let Some(wait) = due.checked_sub(self.began.elapsed()) {
            std::thread::sleep(wait);
        }
        let most = buffer.len().min(16_384);
        let read = self.stream.read(&mut buffer[..most])?;
        self.bytes += read;
        Ok(read)
    }
}

#[derive(Clone, Debug)]
struct Seen {
    asked: Duration,
    ended: Duration,
    status: u16,
    bytes: usize,
    announced: usize,
}

fn read_page(address: SocketAddr, began: Instant) -> Option<Seen> {
    let mut stream = connect_over_ethernet(address)?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    stream.write_all(get(&format!("/lots/{JOB}?after=0"), HOST).as_bytes()).ok()?;
    let asked = began.elapsed();
    let mut reader = BufReader::new(Line { stream, began: Instant::now(), bytes: 0 });
    let mut message = read_head(&mut reader)?;
    let announced =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    read_body(&mut reader, &mut message, true);
    Some(Seen {
        asked,
        ended: began.elapsed(),
        status: message.status(),
        bytes: message.body.len(),
        announced,
    })
}

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record")));
    let code = run(&record, !without_trouble());
    std::process::exit(code);
}

fn run(record: &Record, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(record.clone());
    for index in 0..3u8 {
        let ip = deployment.addresses.ip(100 + index);
        serve_requests((ip, 8000), move |request, socket| {
            let id = request.header("attempt-id").unwrap_or_default();
            let after: u64 =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n\
                 Server-Load: 1,0,12\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            for event in after + 1..=EVENTS {
                let text = format!(
                    "id: {event}\ndata: {}\n\n",
                    format!("\"{event}\": \"{id}\", ").repeat(10)
                );
                answer.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
            }
            answer.push_str("0\r\n\r\n");
            socket.write_all(answer.as_bytes()).is_ok()
        });
        deployment.announce(
            &format!("i-write-{index}"),
            "writers",
            (ip, 8000).into(),
            ZONES[index as usize],
            "ready",
            12,
        );
    }
    deployment.configure(3, &[batch_route()]);
    for index in 0..3 {
        deployment.start_job_store(index, true);
        deployment.start_gateway(index, true);
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let items: Vec<(String, String)> = (0..ITEMS)
        .map(|number| {
            let id = format!("e5b2907c14da6f{number:02}");
            (id.clone(), format!("/batch/3/{id}"))
        })
        .collect();
    if !submit_until_accepted(&deployment, JOB, &submission(&items), Duration::from_secs(20)) {
        return 2;
    }
    let begun = Instant::now();
    loop {
        let answer = call(
            deployment.gateways[1].front(),
            &get(&format!("/lots/{JOB}?after=0"), HOST),
            Duration::from_secs(10),
        );
        let listed = answer
            .ok()
            .filter(|answer| answer.status() == 200)
            .and_then(|answer| Json::parse(&answer.text()));
        if listed.is_some_and(|page| page.get("results").list().len() == ITEMS) {
            break;
        }
        if begun.elapsed() > Duration::from_secs(40) {
            record.line("the items were not finished");
            return 2;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    // Clients read the results through the first gateway, one after the other.
    let (address, pid) = (deployment.gateways[0].front(), deployment.gateways[0].child.id());
    let began = Instant::now();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut readers = Vec::new();
    let mut stopped_at = None;
    while began.elapsed() < Duration::from_secs(14) {
        if trouble && stopped_at.is_none() && began.elapsed() > Duration::from_secs(4) {
            signal(pid, SIGTERM);
            stopped_at = Some(began.elapsed());
            record.line(format!(
                "gateway edge-0 gets SIGTERM at {:.2} s",
                began.elapsed().as_secs_f64()
            ));
        }
        let ended = deployment.gateways[0].child.try_wait().ok().flatten();
        if let Some(status) = ended {
            let at = began.elapsed();
            record.line(format!(
                "gateway edge-0 has ended at {:.2} s with {status}",
                at.as_secs_f64()
            ));
            break;
        }
        let seen = seen.clone();
        readers.push(std::thread::spawn(move || {
            if let Some(page) = read_page(address, began) {
                seen.lock().expect("the pages").push(page);
            }
        }));
        std::thread::sleep(READ_INTERVAL);
    }
    for reader in readers {
        let _ = reader.join();
    }
    let mut pages = seen.lock().expect("the pages").clone();
    pages.sort_by_key(|page| page.asked);
    let (mut whole, mut cut) = (0, 0);
    for page in &pages {
        record.line(format!(
            "asked at {:.2} s, ended at {:.2} s: {} with {} of {} bytes",
            page.asked.as_secs_f64(),
            page.ended.as_secs_f64(),
            page.status,
            page.bytes,
            page.announced
        ));
        match page.status == 200 {
            true if page.bytes < page.announced => cut += 1,
            true => whole += 1,
            false => {}
        }
    }
    record.line(format!("{whole} pages came whole, {cut} were cut"));
    match (whole, cut) {
        (_, 1..) => 1,
        (1.., 0) => 0,
        _ => 2,
    }
}
