//! Engine stand-in: batching, priorities, prefix reuse, memory, fenced orders, KV transfer, load.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use yokefall_bench::ledger::Ledger;
use yokefall_bench::standin::engine::model::{EngineModel, Sequence, SequenceNumber};
use yokefall_bench::standin::engine::server::{
    CONTROL_PATH, KV_EXPORT_PATH, KV_IMPORT_PATH, LOAD_PATH,
};
use yokefall_bench::standin::engine::{EngineParameters, EngineStandIn};
use yokefall_bench::standin::weights::WeightStore;

fn sequence(prompt: &[u8], max_tokens: u32, priority: i32) -> Sequence {
    Sequence { prompt: prompt.to_vec(), max_tokens, resume_from_token: 0, priority }
}

fn submit(model: &mut EngineModel, sequence: Sequence) -> SequenceNumber {
    model.submit(sequence).expect("the queue has room")
}

/// Runs all sequences; returns them in order of completion, and the time in microseconds.
fn finish(model: &mut EngineModel) -> (Vec<SequenceNumber>, u64) {
    let mut order = Vec::new();
    let mut time = 0;
    for _ in 0..10_000 {
        if model.is_idle() {
            return (order, time);
        }
        let outcome = model.step();
        time += outcome.duration_us;
        order.extend(outcome.emitted.iter().filter(|e| e.last).map(|e| e.number));
    }
    panic!("the engine made no progress");
}

#[test]
fn sequences_share_iterations() {
    let time_of = |count: usize| {
        let mut model = EngineModel::new(EngineParameters::default());
        for _ in 0..count {
            submit(&mut model, sequence(b"prompt", 20, 0));
        }
        finish(&mut model).1
    };
    assert!(
        time_of(8) < 2 * time_of(1),
        "eight concurrent sequences must take less than twice the time of one"
    );
}

#[test]
fn a_higher_priority_preempts_and_the_preempted_sequence_still_finishes() {
    let mut model =
        EngineModel::new(EngineParameters { max_sequences: 1, ..EngineParameters::default() });
    let batch = submit(&mut model, sequence(b"batch", 30, 0));
    model.step();
    model.step();
    let online = submit(&mut model, sequence(b"online", 3, 10));
    assert_eq!(model.step().preempted, 1);
    assert_eq!(finish(&mut model).0, vec![online, batch]);
}

#[test]
fn a_cached_prefix_is_not_recomputed() {
    let mut model = EngineModel::new(EngineParameters::default());
    let prompt = vec![b'p'; 4_096];
    submit(&mut model, sequence(&prompt, 1, 0));
    let first = finish(&mut model).1;
    submit(&mut model, sequence(&prompt, 1, 0));
    let second = finish(&mut model).1;
    assert!(second < first);
    let (cached, all) = model.prefix_tokens;
    assert_eq!((cached, all), (1_023, 2_048));
}

#[test]
fn memory_is_limited_and_idle_blocks_are_evicted() {
    let parameters = EngineParameters { kv_blocks: 20, ..EngineParameters::default() };
    let mut model = EngineModel::new(parameters);
    for number in 0..30u8 {
        submit(&mut model, sequence(&vec![number; 640], 8, 0));
    }
    while !model.is_idle() {
        model.step();
        assert!(model.load().kv_blocks_used <= 20);
    }
}

#[test]
fn a_resumed_sequence_emits_only_what_is_missing() {
    let mut model = EngineModel::new(EngineParameters::default());
    let resumed = Sequence { resume_from_token: 7, ..sequence(b"prompt", 10, 0) };
    submit(&mut model, resumed);
    let mut indexes = Vec::new();
    while !model.is_idle() {
        indexes.extend(model.step().emitted.iter().map(|emitted| emitted.index));
    }
    assert_eq!(indexes, vec![7, 8, 9]);
}

async fn post(address: SocketAddr, path: &str, body: &str) -> (u16, String) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let request = http::Request::post(format!("http://{address}{path}"))
        .body(Full::from(body.to_owned()))
        .expect("a request");
    let response = client.request(request).await.expect("an answer");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn an_order_of_an_older_epoch_is_refused_even_while_weights_are_read() {
    let weights = WeightStore::start(any_port(), 4_000_000_000).await.expect("weights");
    let store = Some(weights.server.address());
    let parameters = EngineParameters { model_bytes: 1_000_000_000, ..Default::default() };
    let ledger = Arc::new(Ledger::default());
    let engine = EngineStandIn::start(any_port(), parameters, ledger, store).await.expect("engine");
    let address = engine.server.address();
    let load = |epoch: u64| {
        format!(
            "{{\"epoch\":{epoch},\"action\":\"load_model\",\"model\":\"m{epoch}\",\"version\":1}}"
        )
    };
    let role = "{\"epoch\":6,\"action\":\"set_role\",\"role\":\"decode\"}";
    // The load of epoch 5 takes 0.25 s; epoch 6 arrives in the meantime.
    let late = tokio::spawn(async move { post(address, CONTROL_PATH, &load(5)).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(post(address, CONTROL_PATH, role).await.0, 200);
    assert_eq!(late.await.expect("an answer").0, 409);
    let old = "{\"epoch\":5,\"action\":\"set_role\",\"role\":\"prefill\"}";
    assert_eq!(post(address, CONTROL_PATH, old).await.0, 409);
}

#[tokio::test]
async fn blocks_are_exported_and_imported() {
    let start = || {
        let ledger = Arc::new(Ledger::default());
        EngineStandIn::start(any_port(), EngineParameters::default(), ledger, None)
    };
    let (from, to) = (start().await.expect("engine"), start().await.expect("engine"));
    let prompt = "p".repeat(1_024);
    let order = format!(
        "{{\"request_id\":\"r\",\"model\":\"default\",\"prompt\":\"{prompt}\",\"max_tokens\":1,\
         \"stream\":true}}"
    );
    let (status, answer) = post(from.server.address(), "/v1/completions", &order).await;
    assert!(status == 200 && answer.contains("[DONE]"), "{answer}");
    let (_, exported) = post(from.server.address(), KV_EXPORT_PATH, &prompt).await;
    let (status, stored) = post(to.server.address(), KV_IMPORT_PATH, &exported).await;
    assert_eq!((status, stored.as_str()), (200, "16"));
    let (_, again) = post(to.server.address(), KV_EXPORT_PATH, &prompt).await;
    assert_eq!(again, exported);
}

#[tokio::test]
async fn load_reports_lag() {
    let ledger = Arc::new(Ledger::default());
    let parameters = EngineParameters { load_lag_ms: 60_000, ..EngineParameters::default() };
    let engine = EngineStandIn::start(any_port(), parameters, ledger, None).await.expect("engine");
    let address = engine.server.address();
    let order = "{\"request_id\":\"r\",\"model\":\"default\",\"prompt\":\"p\",\"max_tokens\":1,\
                 \"stream\":true}";
    post(address, "/v1/completions", order).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let uri = format!("http://{address}{LOAD_PATH}").parse().expect("a URI");
    let body = client.get(uri).await.expect("an answer").into_body();
    let body = body.collect().await.expect("a body").to_bytes();
    assert!(
        String::from_utf8_lossy(&body).contains("\"kv_blocks_used\":0"),
        "the report must be older than the work"
    );
}
