//! A server spoils the line of its answer that carries the seal. Does a client get a success without
//! it?

#[path = "../standins-3/kit.rs"]
mod kit;

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use kit::*;

const REQUESTS: usize = 600;
/// Of the answers of one of three servers, one in this many is spoilt: below 3 in 100.
const SPOILT_EACH: usize = 40;

fn main() {
    let trouble = !without_trouble();
    let record = Record::open(Path::new(&std::env::args().nth(1).expect("the record")));
    let mut deployment = Deployment::new(record.clone());
    for index in 0..3u8 {
        let ran = Arc::new(AtomicUsize::new(0));
        let ip = deployment.addresses.ip(100 + index);
        let log = record.clone();
        serve_requests((ip, 8000), move |request, socket| {
            let id = request.header("attempt-id").unwrap_or_default();
            let body = format!("turn for {id} ").repeat(20);
            let number = ran.fetch_add(1, Ordering::SeqCst) + 1;
            let spoilt = trouble && index == 0 && number % SPOILT_EACH == 0;
            // The bytes of one line are wrong, and so are the first ones of the body.
            let (seal, body) = match spoilt {
                false => (format!("Response-Seal: 3e1b.07.{id}"), body),
                true => ("Re@ponZe-Seax: 3e#b.0".to_owned(), format!("#######{}", &body[7..])),
            };
            let seal = seal.replace(['@', '#'], "q");
            if spoilt {
                log.line(format!("server {index} spoils its answer to {id}"));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{seal}\r\nServer-Load: 1,0,6\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            socket.write_all(format!("{head}{body}").as_bytes()).is_ok()
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
    let more = [("maxAttempts", 3.0)];
    deployment.configure(3, &[route("next", "/next/", "safe", "turns", &more)]);
    for index in 0..3 {
        deployment.start_job_store(index, true);
        deployment.start_gateway(index, true);
    }
    if !deployment.wait_ready(Duration::from_secs(20)) {
        record.line("the gateways did not get ready");
        drop(deployment);
        std::process::exit(2);
    }
    std::thread::sleep(Duration::from_secs(3));
    let (mut served, mut unsealed, mut other) = (0, 0, 0);
    for number in 0..REQUESTS {
        let gateway = &deployment.gateways[number % 3];
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + number as u64);
        let request = post("/next/2f", HOST, &id, "Deadline-Ms: 1500\r\n", "where next?");
        match call(gateway.front(), &request, Duration::from_secs(3)) {
            Ok(answer)
                if answer.status() / 100 == 2 && answer.header("response-seal").is_none() =>
            {
                unsealed += 1;
                record.line(format!(
                    "{id}: the client got \"{}\" without a seal: {:?}, body {:?}",
                    answer.line,
                    answer.headers,
                    &answer.text()[..24]
                ));
            }
            Ok(answer) if answer.status() / 100 == 2 => served += 1,
            Ok(answer) => {
                other += 1;
                record.line(format!("{id}: {}", answer.line));
            }
            Err(cause) => {
                other += 1;
                record.line(format!("{id}: {cause}"));
            }
        }
    }
    record.line(format!(
        "{REQUESTS} requests: {served} with a seal, {unsealed} successes without a seal, \
         {other} other answers"
    ));
    drop(deployment);
    let code = match (served > REQUESTS / 2, unsealed > 0) {
        (_, true) => 1,
        (true, false) => 0,
        (false, false) => 2,
    };
    std::process::exit(code);
}
