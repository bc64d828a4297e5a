//! The load generator and its response checks.

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use crocushold_standins::BatchSettings;
use crocushold_standins::Cut;
use crocushold_standins::CutFraming;
use crocushold_standins::Engine;
use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use crocushold_standins::Handle;
use crocushold_standins::LengthDistribution;
use crocushold_standins::PlainService;
use crocushold_standins::ServiceSettings;
use crocushold_standins::load;
use crocushold_standins::load::GiveUp;
use crocushold_standins::load::LoadClass;
use crocushold_standins::load::LoadPlan;
use crocushold_standins::load::MalformedResponse;
use crocushold_standins::load::RequestKind;
use crocushold_standins::load::RequestOutcome;
use crocushold_standins::load::Response;
use crocushold_standins::load::Targets;
use test_case::test_case;

use crate::wire;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[test]
fn stream_is_parsed_regardless_of_how_its_bytes_are_split() {
    let answer = chunked(&["mine 0 ", "mine 1 ", "mine 2 "], true);
    for split in 0..answer.len() {
        let mut response = Response::new("mine", true);
        for part in [&answer[..split], &answer[split..]] {
            assert_eq!(response.feed(part.as_bytes()), Ok(part.len()));
        }
        assert!(
            response.is_complete() && response.is_done(),
            "split at {split}"
        );
        assert_eq!(response.tokens(), 3);
        assert!(!response.is_foreign() && !response.is_disordered());
    }
}

#[test_case(&["mine 0 ", "other 1 "], true, false; "another request's token")]
#[test_case(&["mine 0 ", "mine 0 "], false, true; "a repeated token")]
#[test_case(&["mine 0 ", "mine 2 "], false, true; "a missing token")]
fn tokens_are_checked(tokens: &[&str], foreign: bool, disordered: bool) {
    let mut response = Response::new("mine", true);
    response.feed(chunked(tokens, true).as_bytes()).unwrap();
    assert_eq!(response.is_foreign(), foreign);
    assert_eq!(response.is_disordered(), disordered);
}

#[test]
fn response_without_its_last_chunk_is_incomplete() {
    let mut response = Response::new("mine", true);
    response
        .feed(chunked(&["mine 0 "], false).as_bytes())
        .unwrap();
    assert!(!response.is_complete());
}

#[test]
fn bytes_after_the_response_are_not_consumed() {
    let mut response = Response::new("mine", false);
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1";
    assert_eq!(response.feed(answer.as_bytes()), Ok(answer.len() - 8));
    assert!(response.is_complete());
}

#[test]
fn invalid_response_is_malformed() {
    let mut response = Response::new("mine", false);
    assert_eq!(response.feed(b"nonsense\r\n\r\n"), Err(MalformedResponse));
}

#[async_std::test]
async fn run_counts_every_request_once() {
    let engine = engine().await;
    let plan = LoadPlan {
        entries: vec![engine.addr()],
        standins: vec![engine.control_addr()],
        seconds: 0.5,
        classes: vec![
            LoadClass {
                name: "chat".to_owned(),
                rate: 100.0,
                output: LengthDistribution { low: 1, high: 20 },
                ..class()
            },
            LoadClass {
                name: "sheets".to_owned(),
                rate: 50.0,
                stream: false,
                kind: RequestKind::Text,
                ..class()
            },
        ],
        ..LoadPlan::default()
    };
    let report = load::run(plan).await.unwrap();
    for class in &report.classes {
        assert!(class.sent > 5, "{class:?}");
        assert_eq!(class.completed, class.sent, "{class:?}");
        assert_eq!((class.repeated, class.falsely_reported_not_run), (0, 0));
        assert_eq!(class.first.count, class.sent);
    }
    let sent: u64 = report.classes.iter().map(|class| class.sent).sum();
    assert_eq!(report.standins.completed, sent);
    assert_eq!(
        (report.standins.reachable, report.standins.unreachable),
        (1, 0)
    );
    let tokens: u64 = report.classes.iter().map(|class| class.useful_tokens).sum();
    assert_eq!(report.standins.useful_tokens, tokens);
}

#[test_case(CutFraming::Chunked, true)]
#[test_case(CutFraming::Chunked, false)]
#[test_case(CutFraming::Length, true)]
#[test_case(CutFraming::Length, false)]
#[test_case(CutFraming::Close, true)]
#[test_case(CutFraming::Close, false)]
#[async_std::test]
async fn truncated_response_is_recorded_as_cut(framing: CutFraming, stream: bool) {
    let engine = engine().await;
    let cut = Some(Cut {
        after: 2,
        framing,
        times: None,
    });
    engine.command(EngineCommand::Cut { cut }).await.unwrap();
    let class = LoadClass { stream, ..class() };
    let exchange = load::send_one(engine.addr(), &class, "mine").await;
    assert_eq!(exchange.outcome, RequestOutcome::Cut);
}

/// A relay between client and engine sends wrong tokens, or ends the stream wrongly, although the
/// message framing is valid.
#[test_case(&["mine 0 ", "mine 1 "], true, "", RequestOutcome::Complete; "in order")]
#[test_case(&["mine 0 "], true, "", RequestOutcome::Disordered; "its tail is missing")]
#[test_case(&["mine 0 ", "other 1 "], true, "", RequestOutcome::Misdelivered; "another request's token")]
#[test_case(&["mine 0 ", "mine 1 "], false, "0\r\n\r\n", RequestOutcome::Cut; "no end of the stream")]
#[test_case(&["mine 0 ", "mine 1 "], true, "HTTP/1.1 200 OK", RequestOutcome::Cut; "bytes after its end")]
#[async_std::test]
async fn relayed_response_is_checked(
    tokens: &[&str],
    ended: bool,
    last: &str,
    outcome: RequestOutcome,
) {
    let answer = format!("{}{last}", chunked(tokens, ended));
    let listener = TcpListener::bind(wire::any_address()).await.unwrap();
    let entry = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut conn, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        conn.read(&mut request).await.unwrap();
        conn.write_all(answer.as_bytes()).await.unwrap();
    });
    let class = LoadClass {
        output: LengthDistribution::fixed(2),
        ..LoadClass::default()
    };
    let exchange = load::send_one(entry, &class, "mine").await;
    assert_eq!(exchange.outcome, outcome);
}

#[async_std::test]
async fn refusals_and_failed_connections_are_distinguished() {
    let engine = engine().await;
    let on = true;
    engine
        .command(EngineCommand::Unavailable { on })
        .await
        .unwrap();
    let refused = load::send_one(engine.addr(), &class(), "mine").await;
    assert_eq!(
        (refused.outcome, refused.response.status()),
        (RequestOutcome::Refused, 503)
    );
    engine.command(EngineCommand::Crash).await.unwrap();
    let unconnected = load::send_one(engine.addr(), &class(), "mine").await;
    assert_eq!(unconnected.outcome, RequestOutcome::ConnectFailed);
}

#[async_std::test]
async fn planned_disconnect_is_not_a_timeout() {
    let engine = engine().await;
    engine
        .command(EngineCommand::Hang { on: true })
        .await
        .unwrap();
    let give_up = GiveUp {
        share: 1.0,
        after_ms: 20,
    };
    let leaving = LoadClass {
        give_up: Some(give_up),
        ..class()
    };
    let left = load::send_one(engine.addr(), &leaving, "mine").await;
    assert_eq!(left.outcome, RequestOutcome::GaveUp);
    let waiting = LoadClass {
        timeout_ms: 20,
        ..class()
    };
    let waited = load::send_one(engine.addr(), &waiting, "mine").await;
    assert_eq!(waited.outcome, RequestOutcome::TimedOut);
}

#[async_std::test]
async fn repeated_side_effect_is_counted() {
    let settings = ServiceSettings::default();
    let service = PlainService::start(wire::any_address(), settings)
        .await
        .unwrap();
    let class = LoadClass {
        name: "book".to_owned(),
        kind: RequestKind::Call,
        path: "/book".to_owned(),
        rate: 50.0,
        targets: Targets::default(),
        ..class()
    };
    // The first request of the run has the same marker.
    wire::post(service.addr(), "/book", "x-marker: book.9.1\r\n", "{}").await;
    let plan = LoadPlan {
        entries: vec![service.addr()],
        standins: vec![service.addr()],
        seconds: 0.2,
        seed: 9,
        classes: vec![class],
        ..LoadPlan::default()
    };
    let report = load::run(plan).await.unwrap();
    assert!(report.classes[0].sent > 0);
    assert_eq!(report.classes[0].repeated, 1);
}

fn chunked(tokens: &[&str], ended: bool) -> String {
    let mut answer = CHUNKED.to_owned();
    let mut chunk = |data: &str| answer.push_str(&format!("{:x}\r\n{data}\r\n", data.len()));
    for token in tokens {
        chunk(&format!(
            "data: {{\"delta\":{{\"content\":\"{token}\"}}}}\n\n"
        ));
    }
    if ended {
        chunk("data: [DONE]\n\n");
        answer.push_str("0\r\n\r\n");
    }
    answer
}

async fn engine() -> Handle<Engine> {
    let settings = EngineSettings {
        batch: BatchSettings {
            base_ms: 1.0,
            sequence_ms: 0.1,
            ..BatchSettings::default()
        },
        ..EngineSettings::default()
    };
    Engine::start(wire::any_address(), settings).await.unwrap()
}

fn class() -> LoadClass {
    LoadClass {
        output: LengthDistribution::fixed(5),
        ..LoadClass::default()
    }
}
