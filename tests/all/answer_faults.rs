//! Answers that end or stall early. The caller must be able to detect it.

use std::net::SocketAddr;
use std::thread;

use crocushold_standins::Cut;
use crocushold_standins::CutFraming;
use crocushold_standins::EngineCommand;
use test_case::test_case;

use crate::support::Call;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

fn one_engine() -> SiteSettings {
    SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    }
}

// An engine crashes in the middle of a stream, or just before its last bytes. What the caller has
// received can't be taken back, so no other engine may continue the answer: it ends visibly cut.
#[test_case(200, 2; "streaming")]
#[test_case(4, 4; "before the last byte")]
fn a_crash_in_a_stream_is_a_visible_cut(tokens: u32, after: u32) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Stall { after: Some(after) });
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, tokens).marked("crash"));
    let last = format!("crash {} ", after - 1);
    assert!(caller.read_until(&last));
    site.command_engine(site.runner("crash"), EngineCommand::Crash);
    caller.read_to_end();
    assert!(!caller.is_whole(), "{}", caller.text());
    assert!(!caller.text().contains("[DONE]"));
    assert_eq!(site.runs("crash"), 1, "a relayed stream was repeated");
    site.assert_recovers(&entry);
}

// An answer ends early under each kind of HTTP/1.1 framing that can show it. The caller must see an
// error or a broken connection, never a shorter answer that looks complete.
#[test_case(CutFraming::Chunked, true, 3; "chunked stream")]
#[test_case(CutFraming::Length, true, 3; "stream with a length")]
#[test_case(CutFraming::Chunked, false, 3; "chunked whole answer")]
#[test_case(CutFraming::Length, false, 3; "whole answer with a length")]
#[test_case(CutFraming::Chunked, true, 8; "stream before its last byte")]
#[test_case(CutFraming::Length, true, 8; "stream with a length before its last byte")]
fn an_answer_that_is_cut_never_looks_whole(framing: CutFraming, stream: bool, after: u32) {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let cut = Some(Cut {
        after,
        framing,
        times: None,
    });
    site.command_all_engines(&EngineCommand::Cut { cut });
    let answer = call(entry.listen, &Call::chat(stream, 8).marked("cut")).unwrap();
    assert_eq!(answer.status, 200);
    assert!(!answer.whole, "{}", answer.body);
    assert_eq!(site.runs("cut"), 1, "a relayed answer was repeated");
    site.assert_recovers(&entry);
}

// An answer with neither a length nor chunked encoding ends when its connection closes, so that a
// cut can't be told from the end. The caller gets an error that says that the request may have run.
#[test_case(true; "stream")]
#[test_case(false; "whole answer")]
fn an_answer_without_an_end_is_an_error(stream: bool) {
    let site = Site::start(&one_engine());
    let entry = site.entry("entry-1");
    let cut = Some(Cut {
        after: 3,
        framing: CutFraming::Close,
        times: None,
    });
    site.command_engine(0, EngineCommand::Cut { cut });
    let answer = call(entry.listen, &Call::chat(stream, 8)).unwrap();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "unknown");
    site.assert_recovers(&entry);
}

// An engine stalls in the middle of a stream and keeps its connection open. The stream is cut after
// the idle timeout, the engine's work is cancelled, and the caller sees the cut.
#[test]
fn a_stream_that_stalls_is_cut_and_cancelled() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    site.command_all_engines(&EngineCommand::Stall { after: Some(2) });
    let mut caller = RawCaller::send(entry.listen, &Call::chat(true, 5000).marked("stall"));
    caller.read_to_end();
    assert!(caller.text().contains("stall 1 "));
    assert!(!caller.is_whole());
    wait("the engine's work is cancelled", || site.held() == 0);
    site.assert_recovers(&entry);
}

// Sixty callers share the engines' connections. A third of them disconnect in the middle, and the
// engines cut some answers, so that connections are closed, kept and reused in every order. Each
// answer that looks complete must hold all tokens of its own request and none of another's.
#[test]
fn answers_reach_their_own_callers_among_cuts_and_hang_ups() {
    let site = Site::start(&SiteSettings::default());
    let entry = site.entry("entry-1");
    let cut = Some(Cut {
        after: 5,
        framing: CutFraming::Chunked,
        times: Some(6),
    });
    site.command_all_engines(&EngineCommand::Cut { cut });
    let listen = entry.listen;
    let callers: Vec<_> = (0..60)
        .map(|number| thread::spawn(move || send_numbered(listen, number)))
        .collect();
    let whole = callers
        .into_iter()
        .filter_map(|caller| caller.join().unwrap());
    let whole = whole.collect::<Vec<(u32, String)>>();
    assert!(whole.len() >= 40 - 12, "{} of 40", whole.len());
    for (number, text) in &whole {
        for token in 0..20 {
            assert!(text.contains(&format!("\"m{number}x {token} \"")), "{text}");
        }
        assert_eq!(text.matches("\"content\"").count(), 20, "{text}");
    }
    site.assert_recovers(&entry);
}

/// Sends a request, which every third caller abandons. Returns the answer if it looks complete.
fn send_numbered(listen: SocketAddr, number: u32) -> Option<(u32, String)> {
    let marker = format!("m{number}x");
    let mut caller = RawCaller::send(listen, &Call::chat(true, 20).marked(&marker));
    if number.is_multiple_of(3) {
        caller.read_until(&format!("{marker} 1 "));
        return None;
    }
    let complete = caller.read_until("\r\n0\r\n\r\n");
    complete.then(|| (number, caller.text()))
}
