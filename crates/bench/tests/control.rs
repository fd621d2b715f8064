//! Operator API, API keys and platform services on a complete fleet.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{fleet, generate, job, job_parts, plan, quick, request, MODEL, TENANT};
use yokefall_api::v1;
use yokefall_bench::fleet::{caller_key, operator_key, LocalFleet};
use yokefall_objects::MachineState;
use yokefall_rpc::client::Target;

async fn service(fleet: &LocalFleet) -> v1::Object {
    let mut operator = fleet.operator("board").await.expect("connect");
    let reference = v1::ObjectRef { kind: "Service".to_owned(), name: MODEL.to_owned() };
    operator.get(reference).await.expect("the declaration exists").into_inner()
}

fn change(object: v1::Object, change_id: &str) -> v1::ApplyRequest {
    let expected_version = object.version;
    let spec_json = object.spec_json.replace("\"reservedSlots\":1", "\"reservedSlots\":2");
    let object = Some(v1::Object { spec_json, ..object });
    let change_id = change_id.to_owned();
    v1::ApplyRequest { object, expected_version, change_id, delete: false }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_conflict_and_a_lost_response_is_resolved() {
    let fleet = fleet(1).await;
    let mut operator = fleet.operator("board").await.expect("connect");
    let read = service(&fleet).await;
    fleet.objects.controls.lose_write_answers.store(1, Ordering::SeqCst);
    let first =
        operator.apply(change(read.clone(), "first")).await.expect("the lost response is resolved");
    let version = first.into_inner().version;
    let again = operator
        .apply(change(read.clone(), "first"))
        .await
        .expect("the same change is accepted again");
    assert_eq!(again.into_inner().version, version);
    let late =
        operator.apply(change(read, "second")).await.expect_err("a stale write was accepted");
    assert_eq!(late.code(), tonic::Code::Aborted);
    assert!(late.message().contains(&format!("is at version {version}")), "{}", late.message());
    assert!(service(&fleet).await.spec_json.contains("\"reservedSlots\":2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_declarations_name_the_field() {
    let fleet = fleet(1).await;
    let mut operator = fleet.operator("board").await.expect("connect");
    let apply = |name: &str, kind: &str, spec: &str| {
        let object = v1::Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: 0,
            spec_json: spec.to_owned(),
        };
        let change_id = format!("change-{name}");
        let request = v1::ApplyRequest {
            object: Some(object),
            expected_version: 0,
            change_id,
            delete: false,
        };
        let mut operator = operator.clone();
        async move { operator.apply(request).await.expect_err("invalid declaration was accepted") }
    };
    let backend = |service: &str, address: &str, slots: u32| {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z\",\
             \"machine\":\"m\",\"slots\":{slots}}}"
        )
    };
    let status = apply("b1", "Backend", &backend(MODEL, "nowhere", 4)).await;
    assert!(status.message().starts_with("spec.address:"), "{}", status.message());
    let status = apply("b2", "Backend", &backend(MODEL, "127.0.0.1:1", 0)).await;
    assert!(status.message().starts_with("spec.slots:"), "{}", status.message());
    let status = apply("b3", "Backend", &backend("nothing", "127.0.0.1:1", 4)).await;
    assert!(status.message().starts_with("spec.service:"), "{}", status.message());
    let status = apply("s1", "Service", "{\"kind\":\"model\",\"modle\":\"x\"}").await;
    assert!(status.message().contains("modle"), "{}", status.message());
    let status = apply("x", "Nothing", "{}").await;
    assert!(status.message().starts_with("kind:"), "{}", status.message());
    let used = v1::ApplyRequest {
        object: Some(service(&fleet).await),
        expected_version: 1,
        change_id: "delete".to_owned(),
        delete: true,
    };
    let status = operator.apply(used).await.expect_err("a service in use was deleted");
    assert_eq!(status.code(), tonic::Code::FailedPrecondition);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_isolate_partners_and_roles() {
    let plans = vec![plan("board", 1), plan("trasovka", 1)];
    let fleet = LocalFleet::start(plans, &quick()).await.expect("fleet starts");
    let agent = fleet.agents[0].rpc_address();
    let caller = |key: &str| {
        let target = Target::plain(agent, key);
        async move { target.caller().await.expect("connect") }
    };
    let mut wrong = caller("wrong-key").await;
    let status = wrong.get_job(job("job")).await.expect_err("an unknown key was accepted");
    assert_eq!(status.code(), tonic::Code::Unauthenticated);
    let mut operator = caller(&operator_key("board")).await;
    let status = operator
        .get_job(job("job"))
        .await
        .expect_err("an operator's key was accepted for a caller");
    assert_eq!(status.code(), tonic::Code::PermissionDenied);
    let mut board = caller(&caller_key("board")).await;
    let parts = job_parts("job", v1::Repeat::Allowed, 2, 2);
    board.submit_job(tokio_stream::iter(parts)).await.expect("accepted");
    generate(&mut board, request("r1", v1::Repeat::Allowed)).await.expect("answered");
    // Use the other partner's key at the same agent, with the same tenant and ids.
    let mut other = caller(&caller_key("trasovka")).await;
    let status = other.get_job(job("job")).await.expect_err("another partner's job was read");
    assert_eq!(status.code(), tonic::Code::NotFound);
    let status =
        other.cancel_job(job("job")).await.expect_err("another partner's job was cancelled");
    assert_eq!(status.code(), tonic::Code::NotFound);
    let stored = v1::GetResultRequest {
        tenant: TENANT.to_owned(),
        request_id: "r1".to_owned(),
        deadline_ms: 1_000,
    };
    let stored = other.get_result(stored).await.expect("answered").into_inner();
    let Some(v1::call_response::Outcome::Refusal(refusal)) = stored.outcome else {
        panic!("another partner's answer was read");
    };
    assert_eq!(refusal.reason(), v1::RefusalReason::RefusalNotFound);
    let mut operator = fleet.operator("trasovka").await.expect("connect");
    let list = operator.list(v1::ListRequest::default()).await.expect("answered").into_inner();
    assert_eq!(list.objects.len(), 4, "an operator sees only the objects of its own partner");
}

#[tokio::test(flavor = "multi_thread")]
async fn few_daemons_watch_the_object_api_and_calls_are_served_without_it() {
    let options = yokefall_bench::fleet::FleetOptions { daemons_per_zone: 4, ..quick() };
    let fleet = LocalFleet::start(vec![plan("board", 2)], &options).await.expect("fleet starts");
    // Two kinds of objects, two watching daemons per region; initially each watches alone.
    let watches = || fleet.objects.controls.watches.load(Ordering::SeqCst);
    support::eventually("two watches per kind", || watches() == 4).await;
    fleet.objects.server.kill();
    let mut caller = fleet.caller("board").await.expect("connect");
    generate(&mut caller, request("r1", v1::Repeat::Allowed)).await.expect("answered");
    let mut operator = fleet.operator("board").await.expect("connect");
    let status = operator.apply(change(service(&fleet).await, "while-down")).await;
    assert_eq!(status.expect_err("the object API is down").code(), tonic::Code::Unknown);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_back_end_gets_no_new_requests() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller("board").await.expect("connect");
    fleet.machines.set("machine-pathmind-0", MachineState::Leaving);
    let mut operator = fleet.operator("board").await.expect("connect");
    loop {
        let status = operator.status(v1::StatusRequest {}).await.expect("answered").into_inner();
        let leaving = status.backends.iter().find(|backend| backend.name == "pathmind-0");
        if leaving.is_some_and(|backend| backend.leaving) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The other daemons learn of the change within seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = support::engines(&fleet)[0].executions_started();
    for number in 0..20 {
        let request = request(&format!("r{number}"), v1::Repeat::Allowed);
        generate(&mut caller, request).await.expect("answered");
    }
    assert_eq!(support::engines(&fleet)[0].executions_started(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_daemon_stop_cuts_off_no_calls() {
    let mut fleet = fleet(4).await;
    let caller = fleet.caller("board").await.expect("connect");
    let calls = tokio::spawn(async move {
        let mut answers = Vec::new();
        for number in 0..60 {
            let mut caller = caller.clone();
            answers.push(tokio::spawn(async move {
                generate(&mut caller, request(&format!("r{number}"), v1::Repeat::Forbidden)).await
            }));
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        futures::future::join_all(answers).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Stop the second daemon: the first has the data folder and serves the operators.
    let mut stopped = fleet.daemons.remove(1);
    assert!(stopped.stop(Duration::from_secs(20)).await.clean);
    for answer in calls.await.expect("all calls end") {
        answer.expect("all calls end").expect("no call is cut off");
    }
}
