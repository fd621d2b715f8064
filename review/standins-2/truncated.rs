//! A server that ends its answers with their connection crashes in the middle of some items.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::kit::*;

const SERVERS: usize = 6;
const SLOTS: u32 = 4;
const ITEMS: usize = 18;
const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(300);

fn word(item: &str, event: u64) -> String {
    format!("word {event} of {item}")
}

/// The process of one server: prints its address, then a line for each run.
pub fn serve(id: &str) -> i32 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("{}", listener.local_addr().unwrap());
    let own = id.to_owned();
    let behaviour: Behaviour = Arc::new(move |request, stream| {
        let item = request.header("attempt-id").unwrap_or("").to_owned();
        let from: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        println!("{own} runs {item} after event {from}");
        // Neither a length nor chunks: the answer ends with its connection.
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {item}\r\nResponse-Seal: seal.{item}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        let mut sent = stream.write_all(head.as_bytes()).is_ok();
        for event in from + 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {event}\ndata: {}\n\n", word(&item, event));
            sent &= stream.write_all(text.as_bytes()).is_ok();
        }
        println!("{own} {} {item}", if sent { "has made the whole of" } else { "could not finish" });
        false
    });
    for stream in listener.incoming().flatten() {
        let (behaviour, id) = (behaviour.clone(), id.to_owned());
        std::thread::spawn(move || serve_connection(stream, &id, behaviour));
    }
    0
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(id: &str, record: &Record) -> (Process, SocketAddr) {
    let program = std::env::current_exe().expect("the path of this program");
    let mut child = Command::new(program)
        .args(["server", id])
        .stdout(Stdio::piped())
        .spawn()
        .expect("a server starts");
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let address = lines.next().unwrap().unwrap().parse().unwrap();
    let record = record.clone();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| record.line(line)));
    (Process(child), address)
}

pub fn run(record: &Record) -> i32 {
    let folder = Folder::create("truncated");
    let store = Store::start();
    let registration = Registration::start(&store);
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let id = format!("i-{number}");
        let (process, address) = start(&id, record);
        registration.set(&id, "notes", address, &format!("hall-{}", number % 3 + 1), SLOTS, "ready");
        servers.push(process);
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
        let text = job_store_settings(&name, &zone, &own, &seeds, store.address, &data, true);
        job_stores.push(Program::start(&name, "job-store", &text, &folder.0));
    }
    if !wait_for(Duration::from_secs(20), || is_ready(ports.readiness)) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(6));
    let job = "7c41e09b52d6a3f8";
    let ids: Vec<String> = (0..ITEMS).map(|item| format!("e5b2907c{item:08x}")).collect();
    let items: Vec<String> = ids
        .iter()
        .map(|id| format!("{{\"id\":\"{id}\",\"path\":\"/notes/3/{id}\",\"headers\":{{\"Model\":\"m\",\"Token-Count\":\"540,40\",\"Prefix-Hash\":\"{id}:540\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":580}}"))
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
    std::thread::sleep(Duration::from_millis(1_600));
    if trouble() {
        drop(servers.remove(0));
        record.line("server i-1 crashes (SIGKILL)");
        std::thread::sleep(Duration::from_millis(3_600));
        // Three heartbeats without a write.
        registration.gone("i-1");
    }
    let mut text = String::new();
    let listed = wait_for(Duration::from_secs(45), || {
        let answer = get(ports.ingress, &format!("/lots/{job}?after=0"), Duration::from_secs(5));
        text = answer.filter(|answer| answer.status() == 200).map_or(String::new(), |answer| answer.text());
        text.matches("\"state\"").count() == ITEMS
    });
    if !listed {
        record.line("not all items were listed");
        return 2;
    }
    let mut truncated = 0;
    for part in text.split("{\"id\":\"").skip(1) {
        let id = part.split('"').next().unwrap_or("");
        let state = text_field(part, "state").unwrap_or_default();
        let message = text_field(part, "message").unwrap_or_default();
        let whole: Vec<String> = (1..=EVENTS).map(|event| word(id, event)).collect();
        let is_whole = message == whole.join("\\n");
        let events = message.split("\\n").filter(|line| !line.is_empty()).count();
        record.line(format!("client reads item {id}: {state}, {events} of {EVENTS} events"));
        truncated += usize::from(state == "completed" && !is_whole);
    }
    record.line(format!("{truncated} of {ITEMS} items are completed without their whole output"));
    i32::from(truncated > 0)
}
