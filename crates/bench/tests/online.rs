//! Online requests on a complete fleet: answers, joining of resends, engine faults, refusals.

mod support;

use support::{engines, fleet, generate, header, inject, request, PLAIN, TENANT, TOKENS};
use yokefall_api::v1;
use yokefall_bench::standin::engine::EngineFault;
use yokefall_bench::text::model_answer;

fn expected(id: &str) -> String {
    model_answer(&format!("board/{TENANT}/{id}"), TOKENS)
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_joined_resumed_and_readable_afterwards() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let first = request("r1", v1::Repeat::Forbidden);
    assert_eq!(generate(&mut caller, first.clone()).await.as_deref(), Ok(expected("r1").as_str()));
    // A resend with the same id gets the stored answer and runs nothing.
    assert_eq!(generate(&mut caller, first.clone()).await.as_deref(), Ok(expected("r1").as_str()));
    let mut rest = first.clone();
    rest.offset = 10;
    assert_eq!(generate(&mut caller, rest).await.as_deref(), Ok(&expected("r1")[10..]));
    let mut other = first;
    other.prompt = "another question".to_owned();
    let refusal = generate(&mut caller, other)
        .await
        .expect_err("different content was accepted under the same id");
    assert_eq!(refusal.reason(), v1::RefusalReason::RefusalConflict);
    assert_eq!(refusal.executed(), v1::Executed::No);
    let stored = caller
        .get_result(v1::GetResultRequest {
            tenant: TENANT.to_owned(),
            request_id: "r1".to_owned(),
            deadline_ms: 1_000,
        })
        .await
        .expect("the stored answer");
    let body = v1::call_response::Outcome::Body(expected("r1").into_bytes());
    assert_eq!(stored.into_inner().outcome, Some(body));
    assert_eq!(fleet.ledger.counts()[&format!("board/{TENANT}/r1")].begun, 1);
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_call_completes_after_its_engine_crashes_mid_stream() {
    let fleet = fleet(4).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let mut long = request("r1", v1::Repeat::Allowed);
    long.max_tokens = 60;
    let mut steps = caller.generate(long).await.expect("accepted").into_inner();
    let first =
        steps.message().await.expect("the stream does not break off").expect("a first chunk");
    let Some(v1::generate_response::Step::Chunk(first)) = first.step else {
        panic!("expected a chunk")
    };
    let model_backends: Vec<String> = fleet
        .backends
        .iter()
        .filter(|placed| placed.service == support::MODEL)
        .map(|placed| placed.name.clone())
        .collect();
    assert_eq!(model_backends.len(), 4);
    // The engine that runs the request crashes; the others continue.
    let busy = busy_engine(&fleet).await;
    engines(&fleet)[busy].inject(EngineFault::Die).await;
    let mut answer = first.text;
    loop {
        let step = steps.message().await.expect("the stream does not break off").expect("an end");
        match step.step.expect("a step") {
            v1::generate_response::Step::Chunk(chunk) => answer.extend_from_slice(&chunk.text),
            v1::generate_response::Step::Completed(_) => break,
            v1::generate_response::Step::Refusal(refusal) => panic!("refused: {refusal:?}"),
        }
    }
    let expected = model_answer(&format!("board/{TENANT}/r1"), 60);
    assert_eq!(String::from_utf8(answer).expect("UTF-8"), expected);
}

async fn busy_engine(fleet: &yokefall_bench::fleet::LocalFleet) -> usize {
    for (number, engine) in engines(fleet).into_iter().enumerate() {
        if engine.is_busy() {
            return number;
        }
    }
    panic!("no engine is busy");
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_engine_answers_become_refusals() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let faults = [
        ("json", EngineFault::BadJson { on: true }, EngineFault::BadJson { on: false }),
        ("text", EngineFault::BadText { on: true }, EngineFault::BadText { on: false }),
    ];
    for (id, on, off) in faults {
        inject(&fleet, on).await;
        let refusal = generate(&mut caller, request(id, v1::Repeat::Forbidden)).await;
        let refusal = refusal.expect_err("a malformed answer was passed on");
        assert_eq!(refusal.reason(), v1::RefusalReason::RefusalBackendFailed);
        assert_ne!(refusal.executed(), v1::Executed::No, "it ran");
        assert!(refusal.detail.contains("Decode at back end"), "{}", refusal.detail);
        assert_eq!(fleet.ledger.counts()[&format!("board/{TENANT}/{id}")].begun, 1);
        inject(&fleet, off).await;
        tokio::time::sleep(std::time::Duration::from_millis(1_100)).await;
    }
    assert_eq!(
        generate(&mut caller, request("after", v1::Repeat::Forbidden)).await.as_deref(),
        Ok(expected("after").as_str())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_refused_as_not_run_if_every_engine_is_down() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    inject(&fleet, EngineFault::Die).await;
    let refusal = generate(&mut caller, request("r1", v1::Repeat::Forbidden)).await;
    let refusal = refusal.expect_err("a crashed engine answered");
    assert_eq!(refusal.executed(), v1::Executed::No);
    assert!(!fleet.ledger.counts().contains_key(&format!("board/{TENANT}/r1")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_request_stops_at_the_engine() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let mut long = request("r1", v1::Repeat::Forbidden);
    long.max_tokens = 2_000;
    let mut steps = caller.generate(long).await.expect("accepted").into_inner();
    steps.message().await.expect("the stream does not break off").expect("a first chunk");
    let cancel = v1::CancelRequest { tenant: TENANT.to_owned(), request_id: "r1".to_owned() };
    assert!(caller.cancel(cancel).await.expect("answered").into_inner().cancelled);
    let mut last = None;
    while let Some(step) = steps.message().await.expect("the stream does not break off") {
        last = step.step;
    }
    let Some(v1::generate_response::Step::Refusal(refusal)) = last else {
        panic!("expected a refusal")
    };
    assert_eq!(refusal.reason(), v1::RefusalReason::RefusalCancelled);
    while engines(&fleet)[0].is_busy() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_names_the_field() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let status = |result: Result<tonic::Response<_>, tonic::Status>| {
        result
            .map(|_: tonic::Response<tonic::Streaming<v1::GenerateResponse>>| ())
            .expect_err("invalid input was accepted")
    };
    let mut bad = request("r1", v1::Repeat::Allowed);
    bad.max_tokens = 0;
    assert!(status(caller.generate(bad).await).message().starts_with("max_tokens:"));
    let mut bad = request("with space", v1::Repeat::Allowed);
    bad.max_tokens = 1;
    assert!(status(caller.generate(bad).await).message().starts_with("request_id:"));
    let mut bad = request("r2", v1::Repeat::Allowed);
    bad.prompt = "x".repeat(300 * 1024);
    assert!(status(caller.generate(bad).await).message().starts_with("prompt:"));
    let mut large = request("r3", v1::Repeat::Allowed);
    large.prompt = "x".repeat(40 * 1024);
    let refusal = generate(&mut caller, large).await.expect_err("above the service's limit");
    assert!(refusal.detail.starts_with("prompt:"));
    let mut unknown = request("r4", v1::Repeat::Allowed);
    unknown.header = Some(header("r4", "nothing", v1::Repeat::Allowed));
    let refusal = generate(&mut caller, unknown).await.expect_err("an unknown service");
    assert_eq!(refusal.reason(), v1::RefusalReason::RefusalUnknownService);
    assert_eq!(refusal.executed(), v1::Executed::No);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_gets_its_own_answer() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let body = b"tile 7".to_vec();
    let request = v1::CallRequest {
        header: Some(header("p1", PLAIN, v1::Repeat::Forbidden)),
        body: body.clone(),
    };
    let response = caller.call(request).await.expect("accepted").into_inner();
    let expected = yokefall_bench::text::plain_answer(&format!("board/{TENANT}/p1"), &body);
    let expected = v1::call_response::Outcome::Body(expected.into_bytes());
    assert_eq!(response.outcome, Some(expected));
}
