//! The engine over HTTP.

use crocushold_standins::BatchSettings;
use crocushold_standins::Cut;
use crocushold_standins::CutFraming;
use crocushold_standins::Engine;
use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use crocushold_standins::Handle;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::wire;

#[async_std::test]
async fn streamed_response_contains_its_marker_in_each_token() {
    let engine = engine().await;
    let reply = chat(&engine, &request("mine", 3, true)).await;
    for token in 0..3 {
        let event = format!("\"content\":\"mine {token} \"");
        assert!(reply.body.contains(&event), "{}", reply.body);
    }
    assert!(reply.body.contains("\"completion_tokens\":3"));
    assert!(reply.body.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"));
    assert_eq!((engine.runs("mine"), engine.stats().useful_tokens), (1, 3));
}

#[async_std::test]
async fn response_without_stream_has_a_content_length() {
    let engine = engine().await;
    let reply = chat(&engine, &request("mine", 2, false)).await;
    let length = format!("content-length: {}", reply.body.len());
    assert!(reply.head.contains(&length), "{}", reply.head);
    let content = &reply.json()["choices"][0]["message"]["content"];
    assert_eq!(content, "mine 0 mine 1 ");
}

/// An engine is slowed so much that a step takes minutes, and the fault ends while a request is in
/// that step. The request must continue immediately, or else the next request of a test would wait
/// for the old step.
#[async_std::test]
async fn a_step_in_progress_is_shortened_when_the_slowdown_ends() {
    let engine = engine().await;
    let slow = EngineCommand::Slow { factor: 1e6 };
    engine.command(slow).await.unwrap();
    let body = request("mine", 2, false).to_string();
    let call = wire::post_request("/v1/chat/completions", "", &body);
    let _conn = wire::send(engine.addr(), &call).await;
    wire::wait_until("the step has begun", || engine.stats().running == 1).await;
    engine.command(EngineCommand::Clear).await.unwrap();
    wire::wait_until("the request is done", || engine.stats().useful_tokens == 2).await;
}

#[async_std::test]
async fn text_completion_has_its_own_response_format() {
    let engine = engine().await;
    let body = json!({"prompt": "hello", "max_tokens": 1, "user": "mine"}).to_string();
    let reply = wire::post(engine.addr(), "/v1/completions", "", &body).await;
    assert_eq!(reply.json()["choices"][0]["text"], "mine 0 ");
}

/// The client disconnects while the engine generates tokens. The engine must detect this without
/// writing, cancel the request and count it.
#[test_case(true; "streamed")]
#[test_case(false; "whole")]
#[async_std::test]
async fn client_disconnect_cancels_the_request(stream: bool) {
    let engine = engine().await;
    let body = request("gone", 30_000, stream).to_string();
    let request = wire::post_request("/v1/chat/completions", "", &body);
    let conn = wire::send(engine.addr(), &request).await;
    wire::wait_until("the request runs", || engine.stats().running == 1).await;
    let marker = "gone".to_owned();
    engine
        .command(EngineCommand::HangUp { marker })
        .await
        .unwrap();
    drop(conn);
    wire::wait_until("the request is cancelled", || engine.stats().cancelled == 1).await;
    let stats = engine.stats();
    assert_eq!((stats.running, stats.completed), (0, 0));
    assert_eq!(stats.cancellations[0].marker, "gone");
    assert!(stats.cancellations[0].after_us.is_some());
}

/// The client receives two tokens and the end of the connection. Each kind of cut breaks the
/// message framing differently, so a reader that checks the wrong sign would accept the response as
/// complete.
#[test_case(CutFraming::Chunked, true)]
#[test_case(CutFraming::Chunked, false)]
#[test_case(CutFraming::Length, true)]
#[test_case(CutFraming::Length, false)]
#[test_case(CutFraming::Close, true)]
#[test_case(CutFraming::Close, false)]
#[async_std::test]
async fn cut_response_is_truncated_on_the_wire(framing: CutFraming, stream: bool) {
    let engine = engine().await;
    let cut = Some(Cut {
        after: 2,
        framing,
        times: Some(1),
    });
    engine.command(EngineCommand::Cut { cut }).await.unwrap();
    let reply = chat(&engine, &request("mine", 5, stream)).await;
    assert!(reply.body.contains("mine 1 ") && !reply.body.contains("mine 2 "));
    assert!(!reply.body.contains("[DONE]"));
    let chunked = reply.head.contains("transfer-encoding: chunked");
    let length = reply
        .head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    match framing {
        CutFraming::Chunked => assert!(chunked && !reply.body.ends_with("0\r\n\r\n")),
        CutFraming::Length => {
            let announced: usize = length.unwrap().parse().unwrap();
            assert!(!chunked && announced > reply.body.len());
        }
        CutFraming::Close => assert!(!chunked && length.is_none()),
    }
    let stats = engine.stats();
    assert_eq!((stats.failed, stats.useful_tokens), (1, 0));
    // The batch may have generated more tokens than were sent; those are counted as well.
    assert!((2..=5).contains(&stats.failed_tokens), "{stats:?}");
    let next = chat(&engine, &request("next", 1, true)).await;
    assert!(next.body.contains("[DONE]"), "only one response is cut");
}

#[async_std::test]
async fn stalled_stream_stays_open_after_its_tokens() {
    let engine = engine().await;
    let stall = EngineCommand::Stall { after: Some(1) };
    engine.command(stall).await.unwrap();
    let body = request("mine", 3, true).to_string();
    let request = wire::post_request("/v1/chat/completions", "", &body);
    let conn = wire::send(engine.addr(), &request).await;
    // The engine has generated all tokens, and the client still waits.
    wire::wait_until("the batch is done", || {
        let stats = engine.stats();
        stats.started == 1 && stats.running + stats.waiting == 0
    })
    .await;
    assert_eq!(engine.stats().completed, 0);
    drop(conn);
    wire::wait_until("the disconnect is detected", || {
        engine.stats().cancelled == 1
    })
    .await;
}

/// The engine crashes in the middle of a response: the client's connection is closed, new ones are
/// refused, and the request isn't completed after the restart.
#[async_std::test]
async fn crash_closes_connections_and_refuses_new_ones_until_restart() {
    let engine = engine().await;
    let body = request("lost", 30_000, true).to_string();
    let request_text = wire::post_request("/v1/chat/completions", "", &body);
    let conn = wire::send(engine.addr(), &request_text).await;
    wire::wait_until("the request runs", || engine.stats().running == 1).await;
    engine.command(EngineCommand::Crash).await.unwrap();
    let reply = wire::read_to_close(conn).await;
    assert!(!reply.body.contains("[DONE]"));
    assert!(
        async_std::net::TcpStream::connect(engine.addr())
            .await
            .is_err()
    );
    wire::wait_until("the request is lost", || engine.stats().failed == 1).await;
    engine.command(EngineCommand::Restart).await.unwrap();
    assert_eq!(chat(&engine, &request("next", 1, false)).await.status, 200);
    assert_eq!((engine.stats().completed, engine.stats().cancelled), (1, 0));
}

/// A hung engine accepts a request without processing it, and responds after the fault ends.
#[async_std::test]
async fn hung_engine_responds_when_the_fault_ends() {
    let engine = engine().await;
    engine
        .command(EngineCommand::Hang { on: true })
        .await
        .unwrap();
    let body = request("late", 1, false).to_string();
    let request = wire::post_request("/v1/chat/completions", "", &body);
    let conn = wire::send(engine.addr(), &request).await;
    assert_eq!(
        wire::get(engine.control_addr(), "/control/stats")
            .await
            .status,
        200
    );
    assert_eq!(engine.stats().started, 0);
    engine
        .command(EngineCommand::Hang { on: false })
        .await
        .unwrap();
    assert_eq!(wire::read_to_close(conn).await.status, 200);
}

#[test_case(true, 409, 2; "refused if the engine checks")]
#[test_case(false, 200, 1; "accepted if it doesn't")]
#[async_std::test]
async fn order_with_an_older_fencing_token(checks: bool, status: u16, fence: u64) {
    let settings = EngineSettings {
        checks,
        load_ms: 0,
        ..fast()
    };
    let engine = Engine::start(wire::any_address(), settings).await.unwrap();
    let load = |fence| json!({"fence": fence, "kind": "load", "model": format!("m{fence}")});
    assert_eq!(order(&engine, &load(2)).await.status, 200);
    assert_eq!(
        order(&engine, &load(2)).await.status,
        200,
        "an equal token is accepted"
    );
    let old = order(&engine, &load(1)).await;
    assert_eq!((old.status, &old.json()["fence"]), (status, &json!(fence)));
    let models = wire::get(engine.addr(), "/v1/models").await;
    assert_eq!(models.body.contains("m1"), !checks);
}

#[async_std::test]
async fn model_that_is_still_loading_is_not_served() {
    let settings = EngineSettings {
        load_ms: 3_600_000,
        ..fast()
    };
    let engine = Engine::start(wire::any_address(), settings).await.unwrap();
    order(
        &engine,
        &json!({"fence": 1, "kind": "load", "model": "new"}),
    )
    .await;
    let mut body = request("mine", 1, false);
    body["model"] = json!("new");
    assert_eq!(chat(&engine, &body).await.status, 404);
    assert_eq!(engine.stats().started, 0);
}

/// One request fills the batch; a long request with a low priority is queued, then a short one with
/// a high priority. If the queue ignored priorities, the short one would wait for the long one.
#[async_std::test]
async fn queue_is_ordered_by_the_priority_in_the_body() {
    let batch = BatchSettings {
        batch_limit: 1,
        ..fast().batch
    };
    let settings = EngineSettings { batch, ..fast() };
    let engine = Engine::start(wire::any_address(), settings).await.unwrap();
    let mut conns = Vec::new();
    for (waiting, priority, tokens) in [(0, 0, 30_000), (1, 9, 30_000), (2, 1, 1)] {
        let mut body = request("queued", tokens, false);
        body["priority"] = json!(priority);
        let request = wire::post_request("/v1/chat/completions", "", &body.to_string());
        conns.push(wire::send(engine.addr(), &request).await);
        let settled = || (engine.stats().running, engine.stats().waiting) == (1, waiting);
        wire::wait_until("the request is running or queued", settled).await;
    }
    let short = conns.pop().unwrap();
    drop(conns.remove(0));
    assert_eq!(wire::read_to_close(short).await.status, 200);
    let stats = engine.stats();
    assert_eq!((stats.completed, stats.running + stats.waiting), (1, 1));
}

#[async_std::test]
async fn same_prefix_is_cached_the_second_time() {
    let engine = engine().await;
    let usage = |reply: wire::RawResponse| reply.json()["usage"].clone();
    let cached = "/prompt_tokens_details/cached_tokens";
    let first = usage(chat(&engine, &request("one", 1, false)).await);
    let second = usage(chat(&engine, &request("two", 1, false)).await);
    assert_eq!(first.pointer(cached), Some(&json!(0)));
    // 80% of the 100 prompt tokens.
    assert_eq!(second.pointer(cached), Some(&json!(80)));
}

async fn engine() -> Handle<Engine> {
    Engine::start(wire::any_address(), fast()).await.unwrap()
}

fn fast() -> EngineSettings {
    EngineSettings {
        batch: BatchSettings {
            base_ms: 1.0,
            sequence_ms: 0.1,
            ..BatchSettings::default()
        },
        ..EngineSettings::default()
    }
}

fn request(marker: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "clara-8b",
        "messages": [{"role": "user", "content": "p".repeat(400)}],
        "max_tokens": tokens,
        "stream": stream,
        "user": marker,
    })
}

async fn chat(engine: &Handle<Engine>, body: &Value) -> wire::RawResponse {
    wire::post(engine.addr(), "/v1/chat/completions", "", &body.to_string()).await
}

async fn order(engine: &Handle<Engine>, body: &Value) -> wire::RawResponse {
    wire::post(engine.addr(), "/orders", "", &body.to_string()).await
}
