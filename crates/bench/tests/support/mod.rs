//! A small fleet, requests and helpers for the tests.

#![allow(dead_code)]

use std::time::Duration;

use yokefall_api::v1;
use yokefall_bench::deployment::{PartnerPlan, ServicePlan};
use yokefall_bench::fleet::{Backend, FleetOptions, LocalFleet};
use yokefall_bench::standin::engine::{EngineFault, EngineParameters, EngineStandIn};
use yokefall_rpc::client::Caller;
use yokefall_types::ServiceKind;

pub const TENANT: &str = "tenant";
pub const MODEL: &str = "pathmind";
pub const PLAIN: &str = "tilegate";
pub const TOKENS: u32 = 12;

pub fn plan(partner: &'static str, model_backends: usize) -> PartnerPlan {
    let service = |name, kind, backends, slots| ServicePlan {
        name,
        kind,
        backends,
        slots,
        reserved_slots: 1,
        service_time: Duration::from_millis(2),
    };
    let (region, zones): (_, &'static [&'static str]) = match partner {
        "board" => ("bengal-south", &["kolkata-hall", "howrah-hall"]),
        _ => ("sk-west", &["trnava-hall", "senec-hall"]),
    };
    PartnerPlan {
        partner,
        region,
        zones,
        services: vec![
            service(MODEL, ServiceKind::Model, model_backends, 4),
            service(PLAIN, ServiceKind::Plain, 1, 4),
        ],
    }
}

/// Options with fast engines, to keep the tests short.
pub fn quick() -> FleetOptions {
    let engine =
        EngineParameters { iteration_us: 4_000, decode_sequence_us: 50, ..Default::default() };
    FleetOptions { engine, ..FleetOptions::default() }
}

pub async fn fleet(model_backends: usize) -> LocalFleet {
    LocalFleet::start(vec![plan("board", model_backends)], &quick()).await.expect("fleet starts")
}

pub fn engines(fleet: &LocalFleet) -> Vec<&EngineStandIn> {
    let mut engines = Vec::new();
    for placed in &fleet.backends {
        if let Backend::Engine(engine) = &placed.backend {
            engines.push(engine);
        }
    }
    engines
}

pub async fn inject(fleet: &LocalFleet, fault: EngineFault) {
    for engine in engines(fleet) {
        engine.inject(fault).await;
    }
}

pub fn header(id: &str, service: &str, repeat: v1::Repeat) -> v1::CallHeader {
    v1::CallHeader {
        tenant: TENANT.to_owned(),
        request_id: id.to_owned(),
        service: service.to_owned(),
        deadline_ms: 20_000,
        priority: v1::Priority::High as i32,
        repeat: repeat as i32,
        resend: false,
    }
}

pub fn request(id: &str, repeat: v1::Repeat) -> v1::GenerateRequest {
    v1::GenerateRequest {
        header: Some(header(id, MODEL, repeat)),
        prompt: "a question".to_owned(),
        max_tokens: TOKENS,
        offset: 0,
    }
}

pub async fn generate(
    caller: &mut Caller,
    request: v1::GenerateRequest,
) -> Result<String, v1::Refusal> {
    use v1::generate_response::Step;
    let mut offset = request.offset;
    let response = caller.generate(request).await.expect("the call is accepted");
    let mut steps = response.into_inner();
    let mut answer = Vec::new();
    while let Some(response) = steps.message().await.expect("the stream does not break off") {
        match response.step.expect("a step") {
            Step::Chunk(chunk) => {
                assert_eq!(chunk.offset, offset, "chunks are contiguous");
                offset += chunk.text.len() as u64;
                answer.extend_from_slice(&chunk.text);
            }
            Step::Completed(completed) => {
                assert_eq!(completed.length, offset);
                return Ok(String::from_utf8(answer).expect("UTF-8"));
            }
            Step::Refusal(refusal) => return Err(refusal),
        }
    }
    panic!("the stream ended without a final step");
}

pub fn job_parts(
    key: &str,
    repeat: v1::Repeat,
    items: u32,
    tokens: u32,
) -> Vec<v1::SubmitJobRequest> {
    use v1::submit_job_request::Part;
    let header = v1::JobHeader {
        tenant: TENANT.to_owned(),
        job_key: key.to_owned(),
        service: MODEL.to_owned(),
        deadline_ms: 600_000,
        priority: 0,
        repeat: repeat as i32,
        max_tokens: tokens,
    };
    let item = |index| Part::Item(v1::JobItem { body: format!("line {index}").into_bytes() });
    let parts = std::iter::once(Part::Header(header)).chain((0..items).map(item));
    parts.map(|part| v1::SubmitJobRequest { part: Some(part) }).collect()
}

pub fn job(key: &str) -> v1::JobRef {
    v1::JobRef { tenant: TENANT.to_owned(), job_key: key.to_owned() }
}

pub async fn results(caller: &mut Caller, key: &str) -> Vec<v1::JobResult> {
    let request = v1::ListResultsRequest { job: Some(job(key)), from_index: 0, follow: true };
    let mut stream = caller.list_results(request).await.expect("results").into_inner();
    let mut results = Vec::new();
    while let Some(result) = stream.message().await.expect("the stream does not break off") {
        results.push(result);
    }
    results
}

/// Waits until a condition holds; panics after 20 seconds.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition did not hold within 20 s: {what}");
}
