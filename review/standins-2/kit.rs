//! Stand-ins of the platform's store, of servers and of clients, with the standard library only,
//! and the start of this project's own programs as separate processes.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "review.example";

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Whether the disruption is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its announced end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    let mut bytes = [0; 16384];
    let count = stream.read(&mut bytes).ok()?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(count)
}

/// Reads one message. `buffer` keeps bytes after it. `None` if the connection ended before a head.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, is_answer: bool) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if fill(stream, buffer)? == 0 {
            return None;
        }
    };
    let head: Vec<u8> = buffer.drain(..head_end).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message { line: lines.next()?.to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        read_chunks(stream, buffer, &mut message);
        return Some(message);
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            while buffer.len() < length {
                match fill(stream, buffer) {
                    Some(0) | None => {
                        message.body = std::mem::take(buffer);
                        return Some(message);
                    }
                    Some(_) => {}
                }
            }
            message.body = buffer.drain(..length).collect();
            message.whole = true;
        }
        None if is_answer => {
            while matches!(fill(stream, buffer), Some(count) if count > 0) {}
            message.body = std::mem::take(buffer);
        }
        None => message.whole = true,
    }
    Some(message)
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &mut Message) {
    loop {
        let line_end = loop {
            if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                break at;
            }
            match fill(stream, buffer) {
                Some(0) | None => return,
                Some(_) => {}
            }
        };
        let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let size = size.split(';').next().unwrap_or("").trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else { return };
        while buffer.len() < line_end + 2 + size + 2 {
            match fill(stream, buffer) {
                Some(0) | None => return,
                Some(_) => {}
            }
        }
        message.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
        buffer.drain(..line_end + 2 + size + 2);
        if size == 0 {
            message.whole = true;
            return;
        }
    }
}

/// Sends a request on a new connection and waits for the answer.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new(), true)
}

pub fn get(to: SocketAddr, path: &str, limit: Duration) -> Option<Message> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    call(to, request.as_bytes(), limit)
}

/// A client's request.
pub fn post(path: &str, id: &str, deadline_ms: u64, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Objects {
    revision: u64,
    /// By kind and name: spec, status, revision.
    held: BTreeMap<(String, String), (String, String, u64)>,
    /// Kind, revision, event.
    history: Vec<(String, u64, String)>,
    made: HashMap<(String, String), u64>,
}

impl Objects {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        let (spec, status, revision) = self.held.get(&key)?;
        let made = self.made.get(&key).copied().unwrap_or(0);
        Some(format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":{made},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
        ))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let revision = self.revision;
        self.made.entry(key.clone()).or_insert(revision);
        let entry = self.held.entry(key).or_insert(("null".into(), "null".into(), 0));
        if let Some(spec) = spec {
            entry.0 = spec.to_owned();
        }
        if let Some(status) = status {
            entry.1 = status.to_owned();
        }
        entry.2 = revision;
        let object = self.object(kind, name).unwrap();
        let event = format!("{{\"gone\":false,\"object\":{object}}}");
        self.history.push((kind.to_owned(), revision, event));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.object(kind, name) else { return };
        self.revision += 1;
        self.held.remove(&(kind.to_owned(), name.to_owned()));
        let event = format!("{{\"gone\":true,\"object\":{object}}}");
        self.history.push((kind.to_owned(), self.revision, event));
    }
}

/// The platform's store. It answers as PROTOCOL.md says, with no disruption of its own.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().unwrap();
        let store = Self { objects: Arc::default(), address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.objects.0.lock().unwrap().put(kind, name, Some(spec), None);
        self.objects.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.objects.0.lock().unwrap().remove(kind, name);
        self.objects.1.notify_all();
    }

    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let objects = self.objects.0.lock().unwrap();
        objects.held.get(&(kind.to_owned(), name.to_owned())).map(|object| object.1.clone())
    }

    pub fn names(&self, kind: &str) -> Vec<(String, String)> {
        let objects = self.objects.0.lock().unwrap();
        let of_kind = objects.held.iter().filter(|((of, _), _)| of == kind);
        of_kind.map(|((_, name), object)| (name.clone(), object.0.clone())).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer, false) {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let answer = [head.as_bytes(), body.as_bytes()].concat();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => {
                let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
                self.watch(kind, number("watch").unwrap_or(0), number("waitMs").unwrap_or(0))
            }
            ("GET", [kind]) => self.list(kind, query.get("after").copied().unwrap_or("")),
            ("GET", [kind, name]) => match self.objects.0.lock().unwrap().object(kind, name) {
                Some(object) => (200, object),
                None => (404, String::new()),
            },
            ("POST", [kind]) => {
                let body = request.text();
                let name = text_field(&body, "name").unwrap_or_default();
                let spec = raw_field(&body, "spec").unwrap_or_else(|| "null".into());
                let mut objects = self.objects.0.lock().unwrap();
                if let Some(object) = objects.object(kind, &name) {
                    return (409, object);
                }
                objects.put(kind, &name, Some(&spec), None);
                self.objects.1.notify_all();
                (200, objects.object(kind, &name).unwrap())
            }
            ("PUT", [kind, name, "status"]) => {
                let status = raw_field(&request.text(), "status").unwrap_or_else(|| "null".into());
                let mut objects = self.objects.0.lock().unwrap();
                if objects.object(kind, name).is_none() {
                    return (404, String::new());
                }
                objects.put(kind, name, None, Some(&status));
                self.objects.1.notify_all();
                (200, objects.object(kind, name).unwrap())
            }
            _ => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let objects = self.objects.0.lock().unwrap();
        let names = objects.held.keys().filter(|(of, name)| of == kind && name.as_str() > after);
        let items: Vec<String> = names.filter_map(|(_, name)| objects.object(kind, name)).collect();
        let at = objects.revision;
        (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            let new = objects.history.iter().filter(|(of, at, _)| of == kind && *at > from);
            let events: Vec<String> = new.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

/// A field of a JSON text whose value is a string without escapes.
pub fn text_field(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    Some(text[at..].split('"').next()?.to_owned())
}

/// A field of a JSON text, as text.
pub fn raw_field(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let (mut depth, mut quoted) = (0, false);
    for (index, sign) in text[at..].char_indices() {
        match sign {
            '"' => quoted = !quoted,
            '{' | '[' if !quoted => depth += 1,
            '}' | ']' if !quoted && depth > 0 => depth -= 1,
            '}' | ']' | ',' if !quoted && depth == 0 => return Some(text[at..at + index].to_owned()),
            _ => {}
        }
    }
    None
}

/// Keeps servers registered: writes each entry again about every 1,200 ms, as servers do.
#[derive(Clone)]
pub struct Registration {
    store: Store,
    /// Spec without the sequence, by id; `None` once the server is gone.
    entries: Arc<Mutex<BTreeMap<String, Option<String>>>>,
}

impl Registration {
    pub fn start(store: &Store) -> Self {
        let registration = Self { store: store.clone(), entries: Arc::default() };
        let beating = registration.clone();
        std::thread::spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(Duration::from_millis(1_200));
                let entries = beating.entries.lock().unwrap();
                for (id, entry) in entries.iter() {
                    if let Some(entry) = entry {
                        let spec = format!("{{{entry},\"sequence\":{sequence}}}");
                        beating.store.put("servers", id, &spec);
                    }
                }
            }
        });
        registration
    }

    pub fn set(&self, id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32, state: &str) {
        let entry = format!(
            "\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0"
        );
        self.store.put("servers", id, &format!("{{{entry},\"sequence\":1}}"));
        self.entries.lock().unwrap().insert(id.to_owned(), Some(entry));
    }

    pub fn gone(&self, id: &str) {
        self.entries.lock().unwrap().insert(id.to_owned(), None);
        self.store.remove("servers", id);
    }
}

pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32, extra: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\"timeoutMs\":8000,\"targetLatencyMs\":300,\"priority\":0,\"backend\":\"{service}\",\"maxAttempts\":{attempts}{extra}}}"
    )
}

pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------- servers

/// Handles one request on a connection; returns whether the connection stays open.
pub type Behaviour = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

/// Starts a server. Health checks are answered here.
pub fn server(id: &str, behaviour: Behaviour) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().unwrap();
    let own_id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (behaviour, id) = (behaviour.clone(), own_id.clone());
            std::thread::spawn(move || serve_connection(stream, &id, behaviour));
        }
    });
    Server { id: id.to_owned(), address }
}

pub fn serve_connection(mut stream: TcpStream, id: &str, behaviour: Behaviour) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer, false) {
        if request.line.starts_with("GET /health") {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.header("expect-instance").is_some_and(|wanted| wanted != id) {
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !behaviour(&request, &mut stream) {
            return;
        }
    }
}

/// A sound answer with a body.
pub fn sound_answer(request: &Message, body: &str) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}.{:x}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
        body.len()
    )
    .into_bytes()
}

/// The head of a sound event stream in chunks.
pub fn stream_head(request: &Message) -> Vec<u8> {
    let id = request.header("attempt-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

// ---------------------------------------------------------------- the project's programs

pub struct Program {
    pub name: String,
    child: Child,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
}

impl Program {
    fn spawn(command: &[String], settings: &Path, log: &Path) -> Child {
        let out = File::options().create(true).append(true).open(log).expect("a log");
        Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("YOKEFALL_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .expect("the program starts; run the build of the deploy file first")
    }

    pub fn start(name: &str, role: &str, settings: &str, folder: &Path) -> Self {
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).unwrap();
        let log = folder.join(format!("{name}.log"));
        // The command of the deploy file, with the settings of this test.
        let command: Vec<String> =
            ["target/release/yokefall", role, "--settings", file.to_str().unwrap()]
                .iter()
                .map(|word| word.to_string())
                .collect();
        let child = Self::spawn(&command, &file, &log);
        Self { name: name.into(), child, command, settings: file, log }
    }

    /// Signals this process, which this test started.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.command, &self.settings, &self.log);
    }

    /// Replaces the settings file.
    pub fn set_settings(&self, settings: &str) {
        std::fs::write(&self.settings, settings).unwrap();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports that are free for TCP and UDP; each call gives others.
pub fn free_ports(count: usize) -> Vec<u16> {
    let mut held = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < count {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = tcp.local_addr().unwrap().port();
        if let Ok(udp) = UdpSocket::bind(("127.0.0.1", port)) {
            ports.push(port);
            held.push((tcp, udp));
        }
    }
    ports
}

#[derive(Clone, Debug)]
pub struct GatewayPorts {
    pub ingress: SocketAddr,
    pub readiness: SocketAddr,
    pub peer: SocketAddr,
    pub directory: SocketAddr,
    pub news: u16,
    pub metrics: u16,
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn gateway_ports() -> GatewayPorts {
    let ports = free_ports(6);
    GatewayPorts {
        ingress: local(ports[0]),
        readiness: local(ports[1]),
        peer: local(ports[2]),
        directory: local(ports[3]),
        news: ports[4],
        metrics: ports[5],
    }
}

const ZONES: &str = "[zones]\n\"hall-1\" = \"region-1\"\n\"hall-2\" = \"region-1\"\n\"hall-3\" = \"region-1\"\n";

/// Settings as the template `platform/gateway.toml` gives them on a small site.
pub fn gateway_settings(name: &str, zone: &str, ports: &GatewayPorts, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "role = \"gateway\"\n[node]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"region-1\"\n[listen]\ningress = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeer = \"{}\"\nnews = \"127.0.0.1:{}\"\nmetrics = \"127.0.0.1:{}\"\n[fleet]\nseeds = [{}]\ntolerated_losses = 1\nbootstrap = true\n[platform]\nstore = \"{store}\"\n[limits]\nmemory_mb = 260\n[stop]\nseconds = 8\n[quota]\noverage = 0.1\n[placement]\n{ZONES}",
        ports.ingress, ports.readiness, ports.directory, ports.peer, ports.news, ports.metrics, seeds.join(", ")
    )
}

/// Settings as the template `platform/job-store.toml` gives them on a small site.
pub fn job_store_settings(name: &str, zone: &str, ports: &[u16], seeds: &[SocketAddr], store: SocketAddr, folder: &Path, bootstrap: bool) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "role = \"job-store\"\n[node]\nname = \"{name}\"\nzone = \"{zone}\"\nregion = \"region-1\"\n[listen]\npeer = \"127.0.0.1:{}\"\nnews = \"127.0.0.1:{}\"\nmetrics = \"127.0.0.1:{}\"\n[fleet]\nseeds = [{}]\ntolerated_losses = 1\n[platform]\nstore = \"{store}\"\n[data]\nfolder = \"{}\"\nbootstrap = {bootstrap}\nretention_seconds = 120\ndisk_mb = 480\n[limits]\nmemory_mb = 290\n[stop]\nseconds = 8\n[quota]\noverage = 0.1\n[placement]\n{ZONES}",
        ports[0], ports[1], ports[2], seeds.join(", "), folder.display()
    )
}

/// A folder of this run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("yokefall-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Waits until a condition holds; false after `limit`.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn is_ready(readiness: SocketAddr) -> bool {
    get(readiness, "/ready", Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
}
