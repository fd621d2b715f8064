//! A configuration takes away the route of a batch job that is open. Are its items ever listed?

#[path = "../standins-3/kit.rs"]
mod kit;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kit::*;

const ITEMS: usize = 60;
const EVENTS: u64 = 40;
const JOB: &str = "7c41e09b52d6a3f8";
/// `finishS` of the sites, and some seconds more.
const FINISH: Duration = Duration::from_secs(18 + 5);

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record")));
    let code = run(&record, !without_trouble());
    std::process::exit(code);
}

fn run(record: &Record, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(record.clone());
    let running = Arc::new(AtomicUsize::new(0));
    for index in 0..3u8 {
        let ip = deployment.addresses.ip(100 + index);
        let running = running.clone();
        serve_requests((ip, 8000), move |request, socket| {
            let id = request.header("attempt-id").unwrap_or_default();
            let after: u64 =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            running.fetch_add(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n\
                 Server-Load: 1,0,4\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let mut open = socket.write_all(head.as_bytes()).is_ok();
            for event in after + 1..=EVENTS {
                std::thread::sleep(Duration::from_millis(40));
                let text = format!("id: {event}\ndata: {id} part {event}\n\n");
                open = open
                    && socket
                        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                        .is_ok();
            }
            running.fetch_sub(1, Ordering::SeqCst);
            open && socket.write_all(b"0\r\n\r\n").is_ok()
        });
        deployment.announce(
            &format!("i-write-{index}"),
            "writers",
            (ip, 8000).into(),
            ZONES[index as usize],
            "ready",
            4,
        );
    }
    let online = route("ask", "/ask/", "safe", "writers", &[]);
    deployment.configure(3, &[online.clone(), batch_route()]);
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
    let listed = || {
        let answer = call(
            deployment.gateways[1].front(),
            &get(&format!("/lots/{JOB}?after=0"), HOST),
            Duration::from_secs(5),
        )
        .ok()?;
        record.line(format!("read: {}", answer.line));
        let page = Json::parse(&answer.text())?;
        Some(
            page.get("results")
                .list()
                .iter()
                .map(|result| result.get("state").text().to_owned())
                .collect::<Vec<_>>(),
        )
    };
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        deployment.configure(5, &[online]);
        record.line("the store acknowledges a configuration without the batch job's route");
    }
    let mut states = Vec::new();
    while begun.elapsed() < Duration::from_secs(3) + FINISH {
        std::thread::sleep(Duration::from_secs(2));
        states = listed().unwrap_or_default();
        record.line(format!(
            "{} of {ITEMS} items are listed, {} runs at servers",
            states.len(),
            running.load(Ordering::SeqCst)
        ));
        if states.len() == ITEMS {
            break;
        }
    }
    match states.len() {
        ITEMS => 0,
        _ => 1,
    }
}
