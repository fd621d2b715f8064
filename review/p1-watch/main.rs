//! All open connections to the platform's store go silent for good, while new ones work. Later than
//! `contactMs` after that a server begins to leave. Do gateways still send to it after `drainMs`?

#[path = "../standins-3/kit.rs"]
mod kit;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kit::*;

const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the server serves on after `drainMs`: at times many seconds.
const SERVES_ON: Duration = Duration::from_secs(8);

fn main() {
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record")));
    let code = run(&record, !without_trouble());
    std::process::exit(code);
}

fn run(record: &Record, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(record.clone());
    let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    for index in 0..3u8 {
        let ip = deployment.addresses.ip(100 + index);
        let arrivals = arrivals.clone();
        serve_requests((ip, 8000), move |request, socket| {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            if index == 0 && request.method() == "POST" {
                arrivals.lock().expect("arrivals").push((Instant::now(), id.clone()));
            }
            let body = "turn left at the depot";
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n\
                 Server-Load: 1,0,6\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            socket.write_all(answer.as_bytes()).is_ok()
        });
        deployment.announce(
            &format!("i-turn-{index}"),
            "turns",
            (ip, 8000).into(),
            ZONES[index as usize],
            "ready",
            6,
        );
    }
    deployment.configure(3, &[route("next", "/next/", "safe", "turns", &[("maxAttempts", 3.0)])]);
    for index in 0..3 {
        deployment.start_job_store(index, true);
        deployment.start_gateway(index, true);
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.line("the gateways did not get ready");
        return 2;
    }
    // The system rests for a while; then the moment is just after the watches were renewed.
    std::thread::sleep(Duration::from_secs(4));
    // An ordinary change of each kind: a route more, and a server more.
    let more = [("maxAttempts", 3.0)];
    let routes = [
        route("next", "/next/", "safe", "turns", &more),
        route("more", "/more/", "safe", "turns", &more),
    ];
    deployment.configure(5, &routes);
    deployment.announce(
        "i-turn-3",
        "turns",
        (deployment.addresses.ip(102), 8000).into(),
        ZONES[2],
        "ready",
        6,
    );
    std::thread::sleep(Duration::from_secs(6));
    let begun = Instant::now();
    loop {
        let mut ends = deployment.store.open_watches("servers");
        ends.extend(deployment.store.open_watches("config"));
        let soonest = ends.iter().min().map(|end| end.saturating_duration_since(Instant::now()));
        if soonest.is_some_and(|left| left > Duration::from_millis(6_500)) {
            record.line(format!(
                "{} watches of servers and configurations are open, the first for {:?} more",
                ends.len(),
                soonest
            ));
            break;
        }
        if begun.elapsed() > Duration::from_secs(40) {
            record.line(format!("watches: {} open, the first for {soonest:?}", ends.len()));
            return 2;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..3usize)
        .map(|index| {
            let (address, running) = (deployment.gateways[index].front(), running.clone());
            std::thread::spawn(move || {
                let mut sent = Vec::new();
                let mut number = 0u64;
                while running.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{:02x}{number:014x}", 0xa0 + index);
                    let request =
                        post("/next/2f", HOST, &id, "Deadline-Ms: 1500\r\n", "where next?");
                    let at = Instant::now();
                    let status = call(address, &request, Duration::from_secs(3))
                        .map_or(0, |answer| answer.status());
                    sent.push((id, at, status));
                    std::thread::sleep(Duration::from_millis(40));
                }
                sent
            })
        })
        .collect();
    if trouble {
        deployment.store.silence_open_connections();
        record.line("all open connections to the store go silent; new ones work");
    }
    std::thread::sleep(CONTACT + Duration::from_millis(150));
    deployment.announce(
        "i-turn-0",
        "turns",
        (deployment.addresses.ip(100), 8000).into(),
        ZONES[0],
        "draining",
        6,
    );
    let acknowledged = Instant::now();
    record.line("the store acknowledges that i-turn-0 is draining");
    std::thread::sleep(DRAIN + SERVES_ON);
    running.store(false, Ordering::SeqCst);
    let mut answered = 0;
    let mut sent_after = std::collections::BTreeMap::new();
    for client in clients {
        for (id, at, status) in client.join().expect("a client") {
            answered += usize::from(status == 200);
            sent_after.insert(id, at);
        }
    }
    let arrivals = arrivals.lock().expect("arrivals").clone();
    let late: Vec<&(Instant, String)> =
        arrivals.iter().filter(|(at, _)| *at > acknowledged + DRAIN).collect();
    for (at, id) in &late {
        let sent = sent_after.get(id).and_then(|sent| sent.checked_duration_since(acknowledged));
        record.line(format!(
            "{id}, which its client sent {sent:?} after the acknowledgement, reached i-turn-0 \
             {:.3} s after it",
            at.duration_since(acknowledged).as_secs_f64()
        ));
    }
    record.line(format!(
        "{answered} requests were answered; {} reached the leaving server, {} of them later than \
         drainMs",
        arrivals.len(),
        late.len()
    ));
    match (late.len(), answered > 100 && !arrivals.is_empty()) {
        (1.., _) => 1,
        (0, true) => 0,
        _ => 2,
    }
}
