//! The operator removes the route of a batch job while some of its items wait.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::kit::*;

const ITEMS: usize = 24;
const SLOTS: u32 = 2;
/// `finishS` of the pages, counted from the last traffic.
const FINISH: Duration = Duration::from_secs(18);

pub fn run(record: &Record) -> i32 {
    let folder = Folder::create("unrouted");
    let store = Store::start();
    let registration = Registration::start(&store);
    let running = Arc::new(AtomicUsize::new(0));
    for number in 1..=3 {
        let id = format!("i-{number}");
        let (record, own, running) = (record.clone(), id.clone(), running.clone());
        let behaviour: Behaviour = Arc::new(move |request, stream| {
            let item = request.header("attempt-id").unwrap_or("").to_owned();
            record.line(format!("{own} runs item {item}"));
            running.fetch_add(1, Ordering::Relaxed);
            let mut sent = stream.write_all(&stream_head(request)).is_ok();
            for event in 1..=4 {
                std::thread::sleep(Duration::from_millis(500));
                sent &= stream.write_all(&chunk(&format!("id: {event}\ndata: word {event}\n\n"))).is_ok();
            }
            sent &= stream.write_all(b"0\r\n\r\n").is_ok();
            running.fetch_sub(1, Ordering::Relaxed);
            record.line(format!("{own} has {} {item}", if sent { "finished" } else { "been left with" }));
            sent
        });
        let server = server(&id, behaviour);
        registration.set(&id, "notes", server.address, &format!("hall-{number}"), SLOTS, "ready");
    }
    let batch = ",\"completionTargetMs\":20000,\"maxQueueS\":60";
    let notes = route("notes", "/notes/", "batch", "notes", 3, batch);
    let other = route("other", "/other/", "safe", "notes", 2, "");
    store.put("config", "main", &configuration(7, &[notes, other.clone()], &["notes"]));

    let ports = gateway_ports();
    let seeds = [ports.peer];
    let settings = gateway_settings("edge-1", "hall-1", &ports, &seeds, store.address);
    let _gateway = Program::start("edge-1", "gateway", &settings, &folder.0);
    let mut job_stores = Vec::new();
    for number in 1..=3 {
        let name = format!("storage-{number}");
        let data = folder.0.join(format!("data-{number}"));
        let own = free_ports(3);
        let zone = format!("hall-{number}");
        let text = job_store_settings(&name, &zone, &own, &seeds, store.address, &data, true);
        job_stores.push(Program::start(&name, "job-store", &text, &folder.0));
    }
    if !wait_for(Duration::from_secs(20), || is_ready(ports.readiness)) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(6));
    let job = "7c41e09b52d6a3f8";
    let items: Vec<String> = (0..ITEMS)
        .map(|item| format!("{{\"id\":\"e5b2907c{item:08x}\",\"path\":\"/notes/3/{item}\",\"headers\":{{\"Model\":\"m\",\"Token-Count\":\"540,40\",\"Prefix-Hash\":\"{item:x}:540\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":580}}"))
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    let request = post(&format!("/notes/{job}"), job, 4_000, "Content-Type: application/json\r\n", &body);
    let accepted = wait_for(Duration::from_secs(15), || {
        let status = call(ports.ingress, &request, Duration::from_secs(5)).map_or(0, |answer| answer.status());
        record.line(format!("client sends the batch job with {ITEMS} items: {status}"));
        status == 202
    });
    if !accepted {
        return 2;
    }
    let sent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(3_000));
    if trouble() {
        store.put("config", "main", &configuration(8, &[other], &["notes"]));
        record.line("operator: version 8 is written, without the route of the batch job");
    }
    // No client sends anything from here on; then `finishS` more, and 5 calm seconds within it.
    std::thread::sleep(FINISH);
    let busy = running.load(Ordering::Relaxed);
    let (mut listed, mut after, mut total) = (BTreeSet::new(), 0, 0);
    for _ in 0..20 {
        let answer = get(ports.ingress, &format!("/lots/{job}?after={after}"), Duration::from_secs(5));
        let Some(answer) = answer.filter(|answer| answer.status() == 200) else {
            std::thread::sleep(Duration::from_millis(500));
            continue;
        };
        let text = answer.text();
        total = raw_field(&text, "total").and_then(|text| text.parse().ok()).unwrap_or(0);
        let next: usize = raw_field(&text, "nextToken").and_then(|text| text.parse().ok()).unwrap_or(after);
        for part in text.split("{\"id\":\"").skip(1) {
            listed.insert(part.split('"').next().unwrap_or("").to_owned());
        }
        if next == after {
            break;
        }
        after = next;
    }
    record.line(format!(
        "{} s after the 202: {} of {total} items are listed; items at servers: {busy}",
        sent_at.elapsed().as_secs(),
        listed.len()
    ));
    if total != ITEMS || (busy > 0) {
        return 2;
    }
    i32::from(listed.len() < ITEMS)
}
