//! Batch jobs on a complete fleet: results, resends, cancellation, and priority of online requests.

mod support;

use support::{fleet, generate, job, job_parts, request, results, TENANT};
use yokefall_api::v1;
use yokefall_bench::text::model_answer;

const TOKENS: u32 = 4;

#[tokio::test(flavor = "multi_thread")]
async fn a_job_gives_each_item_one_result_and_a_resend_joins_it() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let parts = job_parts("job", v1::Repeat::Forbidden, 30, TOKENS);
    let submit = |parts| tokio_stream::iter(parts);
    let first = caller.submit_job(submit(parts.clone())).await.expect("accepted").into_inner();
    assert_eq!((first.accepted, first.joined), (30, false));
    let second = caller.submit_job(submit(parts)).await.expect("accepted").into_inner();
    assert_eq!((second.accepted, second.joined), (30, true));
    let other = job_parts("job", v1::Repeat::Forbidden, 31, TOKENS);
    let status = caller
        .submit_job(submit(other))
        .await
        .expect_err("different content was accepted under the same key");
    assert_eq!(status.code(), tonic::Code::AlreadyExists);
    let results = results(&mut caller, "job").await;
    assert_eq!(results.len(), 30);
    for (index, result) in results.iter().enumerate() {
        assert_eq!(result.index as usize, index);
        assert_eq!(result.outcome(), v1::ItemOutcome::Completed);
        let id = format!("board/{TENANT}/job/{index}");
        assert_eq!(result.body, model_answer(&id, TOKENS).into_bytes());
        assert_eq!(fleet.ledger.counts()[&id].begun, 1);
    }
    let status = caller.get_job(job("job")).await.expect("the job is known").into_inner();
    assert_eq!((status.state(), status.completed), (v1::JobState::Ended, 30));
    assert!(fleet.stop().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let parts = job_parts("job", v1::Repeat::Allowed, 50, 500);
    caller.submit_job(tokio_stream::iter(parts)).await.expect("accepted");
    while !support::engines(&fleet)[0].is_busy() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let status = caller.cancel_job(job("job")).await.expect("the job is known").into_inner();
    assert_eq!(status.state(), v1::JobState::Cancelled);
    let started = fleet.ledger.entries().len();
    while support::engines(&fleet)[0].is_busy() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let results = results(&mut caller, "job").await;
    assert!(results.iter().all(|result| result.outcome() == v1::ItemOutcome::Cancelled));
    // Items on their way to the engine when the job was cancelled may still start; no others do.
    let after = fleet.ledger.entries().len();
    assert!(after <= started + 4, "{started} executions before, {after} after");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_online_call_runs_while_batch_fills_every_slot() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    let parts = job_parts("job", v1::Repeat::Allowed, 40, 400);
    caller.submit_job(tokio_stream::iter(parts)).await.expect("accepted");
    while !support::engines(&fleet)[0].is_busy() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    // More online calls than the one slot that is reserved for them.
    let calls = (0..4).map(|number| {
        let mut caller = caller.clone();
        let request = request(&format!("r{number}"), v1::Repeat::Allowed);
        async move { generate(&mut caller, request).await }
    });
    for answer in futures::future::join_all(calls).await {
        answer.expect("online calls are answered");
    }
    let status = caller.get_job(job("job")).await.expect("the job is known").into_inner();
    assert_eq!(
        status.state(),
        v1::JobState::Running,
        "online calls must be answered before the job ends"
    );
    caller.cancel_job(job("job")).await.expect("the job is known");
}
