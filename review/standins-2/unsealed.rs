//! A server spoils the name of the seal's header in few of its answers.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::kit::*;

const REQUESTS: usize = 400;
/// One answer in this many is spoiled at one server of three: 1/3 of the servers, 1/34 < 0.03.
const SPOILED_EVERY: usize = 34;

pub fn run(record: &Record) -> i32 {
    let folder = Folder::create("unsealed");
    let store = Store::start();
    let registration = Registration::start(&store);
    let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 1..=3 {
        let id = format!("i-{number}");
        let (record, served, spoiled, own) =
            (record.clone(), AtomicUsize::new(0), spoiled.clone(), id.clone());
        let behaviour: Behaviour = Arc::new(move |request, stream| {
            let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
            let count = served.fetch_add(1, Ordering::Relaxed) + 1;
            let spoils = trouble() && number == 1 && count % SPOILED_EVERY == 0;
            let mut answer = sound_answer(request, &format!("tile for {attempt}"));
            if spoils {
                let text = String::from_utf8(answer).unwrap();
                answer = text.replace("Response-Seal:", "Response-Sea1:").into_bytes();
                spoiled.lock().unwrap().push(attempt.clone());
            }
            record.line(format!("{own} runs {attempt}{}", if spoils { ", spoils the answer" } else { "" }));
            stream.write_all(&answer).is_ok()
        });
        let server = server(&id, behaviour);
        registration.set(&id, "tiles", server.address, "hall-1", 6, "ready");
    }
    let routes = [route("tiles", "/tiles/", "safe", "tiles", 2, "")];
    store.put("config", "main", &configuration(7, &routes, &["tiles"]));
    let ports = gateway_ports();
    let settings = gateway_settings("edge-1", "hall-1", &ports, &[ports.peer], store.address);
    let _gateway = Program::start("edge-1", "gateway", &settings, &folder.0);
    if !wait_for(Duration::from_secs(20), || is_ready(ports.readiness)) {
        record.line("the gateway did not become ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let (mut sealed, mut unsealed, mut other) = (0, 0, 0);
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number as u64);
        let answer = call(ports.ingress, &post("/tiles/4", &id, 4_000, "", "x"), Duration::from_secs(5));
        let Some(answer) = answer else {
            record.line(format!("client {id}: no answer"));
            other += 1;
            continue;
        };
        let success = (200..300).contains(&answer.status());
        let seal = answer.header("response-seal").map(str::to_owned);
        record.line(format!("client {id}: {} seal {seal:?}", answer.status()));
        match (success, seal) {
            (true, Some(_)) => sealed += 1,
            (true, None) => unsealed += 1,
            (false, _) => other += 1,
        }
    }
    let spoiled = spoiled.lock().unwrap().len();
    record.line(format!("spoiled {spoiled}; successes with the seal {sealed}, without {unsealed}, other {other}"));
    if sealed < REQUESTS / 2 || (trouble() && spoiled == 0) {
        return 2;
    }
    i32::from(unsealed > 0)
}
