//! Two of three job stores are to be emptied; one of them is down for some seconds.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::kit::*;

const JOBS: usize = 4;
const ITEMS: usize = 5;
/// How long the machine is down. One machine may be lost at once; the pages set no length.
const DOWN: Duration = Duration::from_secs(8);
/// `finishS` of the pages is 18 s, `recoveryS` 12 s and `catchUpS` 4.7 s: more than their sum.
const AFTERWARDS: Duration = Duration::from_secs(36);

fn submission(id: &str, job: usize) -> Vec<u8> {
    let items: Vec<String> = (0..ITEMS)
        .map(|item| {
            format!("{{\"id\":\"{job:08x}{item:08x}\",\"path\":\"/notes/3/{item}\",\"headers\":{{\"Model\":\"m\",\"Token-Count\":\"540,40\",\"Prefix-Hash\":\"{job:x}{item:x}:540\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":580}}")
        })
        .collect();
    let body = format!("{{\"items\":[{}]}}", items.join(","));
    post(&format!("/notes/{id}"), id, 4_000, "Content-Type: application/json\r\n", &body)
}

fn read(ingress: SocketAddr, id: &str) -> (u16, usize) {
    let answer = get(ingress, &format!("/lots/{id}?after=0"), Duration::from_secs(5));
    answer.map_or((0, 0), |answer| (answer.status(), answer.text().matches("\"state\"").count()))
}

/// Reads all jobs; the number that were read with all results.
fn read_all(record: &Record, ingress: SocketAddr, jobs: &[String]) -> usize {
    let mut whole = 0;
    for job in jobs {
        let (status, results) = read(ingress, job);
        record.line(format!("client reads {job}: {status}, {results} results"));
        whole += usize::from(status == 200 && results == ITEMS);
    }
    whole
}

pub fn run(record: &Record) -> i32 {
    let folder = Folder::create("retired");
    let store = Store::start();
    let registration = Registration::start(&store);
    for number in 1..=3 {
        let id = format!("i-{number}");
        let (record, own) = (record.clone(), id.clone());
        let behaviour: Behaviour = Arc::new(move |request, stream| {
            record.line(format!("{own} runs item {}", request.header("attempt-id").unwrap_or("")));
            let from: u64 =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut sent = stream.write_all(&stream_head(request)).is_ok();
            for event in from + 1..=5 {
                sent &= stream.write_all(&chunk(&format!("id: {event}\ndata: word {event}\n\n"))).is_ok();
            }
            sent && stream.write_all(b"0\r\n\r\n").is_ok()
        });
        let server = server(&id, behaviour);
        registration.set(&id, "notes", server.address, &format!("hall-{number}"), 19, "ready");
    }
    let batch = ",\"completionTargetMs\":20000,\"maxQueueS\":60";
    let routes = [route("notes", "/notes/", "batch", "notes", 3, batch)];
    store.put("config", "main", &configuration(7, &routes, &["notes"]));

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
        let text = |bootstrap| job_store_settings(&name, &zone, &own, &seeds, store.address, &data, bootstrap);
        let program = Program::start(&name, "job-store", &text(true), &folder.0);
        job_stores.push((program, text(false)));
    }
    if !wait_for(Duration::from_secs(20), || is_ready(ports.readiness)) {
        record.line("the gateway did not become ready");
        return 2;
    }
    // The first start is over, so that each further one finds `bootstrap` false.
    std::thread::sleep(Duration::from_secs(6));
    for (program, restarted) in &job_stores {
        program.set_settings(restarted);
    }
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("7c41e09b52d6a3{job:02x}")).collect();
    for (number, job) in jobs.iter().enumerate() {
        let accepted = wait_for(Duration::from_secs(15), || {
            let answer = call(ports.ingress, &submission(job, number), Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("client sends batch job {job}: {status}"));
            status == 202
        });
        if !accepted {
            return 2;
        }
    }
    if !wait_for(Duration::from_secs(20), || read_all(record, ports.ingress, &jobs) == JOBS) {
        record.line("the jobs were not completed before the disruption");
        return 2;
    }

    // The operator asks that two machines be emptied, the second once the first is done.
    for name in ["storage-1", "storage-2"] {
        store.put("retirements", name, "{\"durationS\":10}");
        record.line(format!("operator: retirements/{name} is written"));
        let reported = wait_for(Duration::from_secs(8), || {
            store.status("retirements", name).is_some_and(|status| status.contains("completed"))
        });
        record.line(format!("operator: status of {name} after that: {:?}", store.status("retirements", name)));
        if reported && name == "storage-1" {
            job_stores[0].0.kill();
            record.line("storage-1 is removed, as its status is completed");
        } else if reported {
            record.line("storage-2 was reported as emptied though no machine can take its place");
            return 1;
        }
    }
    if read_all(record, ports.ingress, &jobs) != JOBS {
        record.line("the jobs cannot be read before the disruption");
        return 2;
    }
    if trouble() {
        record.line("storage-2 is killed");
        job_stores[1].0.kill();
        std::thread::sleep(DOWN);
        job_stores[1].0.restart();
        record.line("storage-2 is started again, with its disk");
    } else {
        std::thread::sleep(DOWN);
    }
    let mut whole = 0;
    let end = std::time::Instant::now() + AFTERWARDS;
    while std::time::Instant::now() < end {
        std::thread::sleep(Duration::from_secs(6));
        let state = |name: &str| store.status("retirements", name);
        record.line(format!("operator: status of storage-2 is {:?}", state("storage-2")));
        whole = read_all(record, ports.ingress, &jobs);
    }
    for (program, _) in &mut job_stores[1..] {
        if let Some(status) = program.has_ended() {
            record.line(format!("{} has ended by itself: {status}", program.name));
        }
    }
    record.line(format!("{whole} of {JOBS} accepted jobs can be read at the end"));
    i32::from(whole < JOBS)
}
