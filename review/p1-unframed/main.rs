//! A server that answers items without a length crashes midway. Is the part listed as the whole?

#[path = "../standins-3/kit.rs"]
mod kit;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use kit::*;

const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
const ITEMS: usize = 12;
const SERVERS: u8 = 6;
const JOB: &str = "7c41e09b52d6a3f8";

fn piece(id: &str, event: u64) -> String {
    format!("{id}-part-{event}-of-{EVENTS}")
}

/// The server, a process of its own: an event stream whose end is the end of the connection.
fn serve(ip: Ipv4Addr, log: PathBuf) {
    let log = std::sync::Mutex::new(
        std::fs::OpenOptions::new().append(true).create(true).open(log).expect("a log"),
    );
    serve_requests((ip, 8000), move |request, socket| {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.method() == "GET" {
            let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        let after: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let _ = writeln!(log.lock().expect("the log"), "{id} {after}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n\
             Content-Type: text/event-stream\r\nServer-Load: 1,0,12\r\nConnection: close\r\n\r\n"
        );
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after + 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {event}\ndata: {}\n\n", piece(&id, event));
            if socket.write_all(text.as_bytes()).is_err() {
                return false;
            }
        }
        let _ = socket.shutdown(std::net::Shutdown::Both);
        false
    });
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

struct Server {
    child: Child,
    log: PathBuf,
    address: SocketAddr,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_server(deployment: &Deployment, index: u8) -> Server {
    let ip = deployment.addresses.ip(100 + index);
    let log = deployment.folder.join(format!("server-{index}.log"));
    let child = Command::new(std::env::current_exe().expect("this program"))
        .args(["server", &ip.to_string()])
        .arg(&log)
        .stdin(Stdio::null())
        .spawn()
        .expect("a server");
    Server { child, log, address: (ip, 8000).into() }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "server" {
        serve(arguments[2].parse().expect("an address"), PathBuf::from(&arguments[3]));
    }
    let record = Record::open(Path::new(&arguments[1]));
    let code = run(&record, !without_trouble());
    std::process::exit(code);
}

fn run(record: &Record, trouble: bool) -> i32 {
    let mut deployment = Deployment::new(record.clone());
    let mut servers: Vec<Server> =
        (0..SERVERS).map(|index| start_server(&deployment, index)).collect();
    for (index, server) in servers.iter().enumerate() {
        deployment.announce(
            &format!("i-write-{index}"),
            "writers",
            server.address,
            ZONES[index % 3],
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
    let ids: Vec<String> = (0..ITEMS).map(|number| format!("e5b2907c14da6f{number:02}")).collect();
    let items: Vec<(String, String)> =
        ids.iter().map(|id| (id.clone(), format!("/batch/3/{id}"))).collect();
    if !submit_until_accepted(&deployment, JOB, &submission(&items), Duration::from_secs(20)) {
        return 2;
    }
    let begun = Instant::now();
    if trouble {
        // The server that the first run reached crashes about a second later.
        let victim = loop {
            let running = servers.iter().position(|server| {
                std::fs::read_to_string(&server.log).is_ok_and(|log| !log.is_empty())
            });
            if let Some(victim) = running {
                break victim;
            }
            if begun.elapsed() > Duration::from_secs(20) {
                record.line("no item ran");
                return 2;
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        std::thread::sleep(Duration::from_millis(1_020));
        let runs = std::fs::read_to_string(&servers[victim].log).unwrap_or_default();
        let _ = servers[victim].child.kill();
        record.line(format!(
            "server {victim} is killed (SIGKILL); it ran: {:?}",
            runs.lines().collect::<Vec<_>>()
        ));
        let store = deployment.store.clone();
        std::thread::spawn(move || {
            // Its entry goes after three heartbeats of 1.2 s without a write.
            std::thread::sleep(Duration::from_millis(3_600));
            store.remove("servers", &format!("i-write-{victim}"));
        });
    }
    let mut results: Vec<Json> = Vec::new();
    while results.len() < ITEMS && begun.elapsed() < Duration::from_secs(50) {
        std::thread::sleep(Duration::from_millis(500));
        let path = format!("/lots/{JOB}?after=0");
        let Ok(answer) =
            call(deployment.gateways[0].front(), &get(&path, HOST), Duration::from_secs(4))
        else {
            continue;
        };
        if answer.status() == 200 {
            results = Json::parse(&answer.text())
                .map(|page| page.get("results").list().to_vec())
                .unwrap_or_default();
        }
    }
    let mut partial = 0;
    for result in &results {
        let (id, state, message) =
            (result.get("id").text(), result.get("state").text(), result.get("message").text());
        let whole: Vec<String> = (1..=EVENTS).map(|event| piece(id, event)).collect();
        let is_whole = message == whole.join("\n");
        record.line(format!(
            "{id}: {state}, {} of {EVENTS} pieces, whole: {is_whole}",
            message.lines().count()
        ));
        if state == "completed" && !is_whole {
            partial += 1;
            record.line(format!(
                "{id} is listed as completed though its text ends with {:?}",
                message.lines().last()
            ));
        }
    }
    record.line(format!(
        "{} of {ITEMS} items are listed, {partial} as completed with a part of their output",
        results.len()
    ));
    match (partial, results.len()) {
        (1.., _) => 1,
        (0, ITEMS) => 0,
        _ => 2,
    }
}
