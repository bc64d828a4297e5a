//! Callers that exhaust resources: the connections of one account, and memory.

use std::env;

use crocushold_config::CONNECTION_BYTES;
use crocushold_standins::BatchSettings;
use crocushold_standins::EngineCommand;
use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::RawCaller;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::call;
use crate::support::wait;

/// The end of a streamed answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

fn site(limits: &str) -> Site {
    Site::start(&SiteSettings {
        limits: limits.to_owned(),
        ..SiteSettings::default()
    })
}

/// A connection that has been served once and is kept open.
fn served_connection(entry: &Entry, key: &str) -> RawCaller {
    let mut raw = RawCaller::send(entry.listen, &Call::chat(true, 2).key(key));
    assert!(raw.read_until(LAST_CHUNK), "{}", raw.text());
    raw
}

// A client account opens connections without limit and keeps them idle after the first answer. It
// gets as many as one account may hold: the next one is refused before its body is sent, and
// closed. Others are served meanwhile, and closing a connection frees its place.
#[test]
fn one_account_holds_a_bounded_number_of_connections() {
    let site = site("connections = 8\nconnections-per-account = 3\n");
    let entry = site.entry("entry-1");
    let mut held: Vec<RawCaller> = (0..3)
        .map(|_| served_connection(&entry, "team.chat"))
        .collect();
    let over = Call::chat(true, 2).marked("over");
    let mut refused = RawCaller::connect(entry.listen);
    refused.write(over.head().as_bytes());
    let text = refused.read_to_end();
    assert!(text.starts_with("HTTP/1.1 429 "), "{text}");
    assert!(
        text.contains("x-refusal-reason: connections_limited"),
        "{text}"
    );
    assert!(text.contains("x-request-ran: no"), "{text}");
    assert!(text.contains("retry-after: 1\r\n"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
    assert_eq!(site.runs("over"), 0);
    served_connection(&entry, "team.batch");
    let again = Call::chat(true, 2).marked("again");
    held[0].write(format!("{}{}", again.head(), again.body).as_bytes());
    assert!(
        held[0].read_until("again 1 "),
        "a counted connection stays usable"
    );
    held.pop();
    wait("the place is free", || {
        call(entry.listen, &over).is_some_and(|answer| answer.status == 200)
    });
}

// A balancer sends requests of several accounts over one connection. The connection counts for the
// account of its latest request only: if it counted for all of them, a few connections of the
// balancer would use up the limits of every account.
#[test]
fn a_shared_connection_counts_for_its_latest_account_only() {
    let site = site("connections-per-account = 1\n");
    let entry = site.entry("entry-1");
    let mut shared = served_connection(&entry, "team.chat");
    let batch = Call::chat(true, 2).key("team.batch").marked("moved");
    shared.write(format!("{}{}", batch.head(), batch.body).as_bytes());
    assert!(shared.read_until("moved 1 "));
    drop(served_connection(&entry, "team.chat"));
    let refused = call(entry.listen, &batch).unwrap();
    assert_eq!(refused.header("x-refusal-reason"), "connections_limited");
}

// A flood of unknown keys must not use up an account's connections; such connections count for no
// account.
#[test]
fn wrong_keys_take_no_places() {
    let site = site("connections-per-account = 1\n");
    let entry = site.entry("entry-1");
    let unknown_callers: Vec<RawCaller> = (0..4)
        .map(|_| {
            let mut raw = RawCaller::send(entry.listen, &Call::chat(true, 2).key("team.nobody"));
            assert!(raw.read_until("unauthorized"));
            raw
        })
        .collect();
    served_connection(&entry, "team.chat");
    drop(unknown_callers);
}

// An account's requests wait for the only slot. Up to its limit they stay in the queue; the next
// one is told at once that nothing ran and when to retry, and keeps its connection.
#[test]
fn one_account_has_a_bounded_number_of_requests_in_a_queue() {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 1,
        limits: "queued-per-account = 2\n".to_owned(),
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    let running = RawCaller::send(entry.listen, &Call::batch(5000).marked("running"));
    wait("the only slot is taken", || site.runs("running") == 1);
    let queued = [0; 2].map(|_| RawCaller::send(entry.listen, &Call::batch(2)));
    wait("two wait", || entry.queued("batch") == 2);
    let refused = call(entry.listen, &Call::batch(2).marked("over")).unwrap();
    assert_eq!(refused.status, 429, "{}", refused.body);
    assert_eq!(refused.header("x-refusal-reason"), "concurrency_limited");
    assert_eq!(refused.header("x-request-ran"), "no");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(refused.header("connection"), "");
    assert_eq!(site.runs("over"), 0);
    drop((running, queued));
    entry.wait_idle();
}

// The caller's input never becomes a request, or all connections are in use. The answer must tell a
// program that nothing ran and whether to retry, like any other refusal.
#[test_case("GET /v1/models HTTP/1.0\r\n\r\n", 505, "bad_request"; "old version")]
#[test_case("GET\r\n\r\n", 400, "bad_request"; "no head")]
#[test_case("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n", 413, "body_too_large"; "announced body")]
#[test_case("", 503, "overloaded"; "connections of all")]
fn a_refusal_before_a_request_is_parsed_is_machine_readable(text: &str, status: u16, reason: &str) {
    let site = site("connections = 1\nconnections-per-account = 1\n");
    let entry = site.entry("entry-1");
    let held = text
        .is_empty()
        .then(|| served_connection(&entry, "team.chat"));
    let mut refused = RawCaller::connect(entry.listen);
    refused.write(text.as_bytes());
    let answer = refused.read_to_end();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("x-refusal-reason: {reason}\r\n")),
        "{answer}"
    );
    assert!(answer.contains("x-request-ran: no\r\n"), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    assert_eq!(
        answer.contains("retry-after: 1\r\n"),
        held.is_some(),
        "{answer}"
    );
}

/// Environment variable with the number of connections of the flood, for measurements with more of
/// them.
const FLOOD_VARIABLE: &str = "CROCUSHOLD_FLOOD";

/// Headers of each request of the flood: as many as are parsed, in a head of the maximum length.
const HEADERS: usize = 120;

/// A request with the longest head that is accepted.
fn with_longest_head(call: &Call) -> String {
    let mut lines = String::new();
    for number in 0..HEADERS {
        lines.push_str(&format!("x-h{number}: {}\r\n", "v".repeat(50)));
    }
    let head = call
        .head()
        .replacen("host: entry\r\n", &format!("host: entry\r\n{lines}"), 1);
    assert!(head.len() <= 8_191, "{}", head.len());
    head + &call.body
}

/// Bytes pipelined after a request, which are buffered while the connection is watched for a
/// hang-up. With more than 16 KiB buffered, a hang-up is noticed only when writing.
fn pipelined_bytes() -> Vec<u8> {
    vec![b'G'; 15 * 1024]
}

/// Returns the resident memory of an instance in bytes.
fn resident(entry: &Entry) -> u64 {
    let page = entry.page("/metrics").unwrap();
    let mut lines = page.body.lines();
    let line = lines.find_map(|line| line.strip_prefix("process_resident_memory_bytes "));
    line.unwrap().parse().unwrap()
}

/// The behavior of a connection of the flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Sends most of a head of the maximum length, and then nothing.
    HalfHead,
    /// Streams an answer, with bytes pipelined after its request.
    Streaming,
    /// Waits for the answer to a request with a head of the maximum length and a body.
    Waiting,
}

/// Opens a connection of the flood. Returns `None` if its request was refused, which is allowed for
/// lack of memory only.
fn flood(entry: &Entry, kind: Kind) -> Option<RawCaller> {
    let mut raw = RawCaller::connect(entry.listen);
    match kind {
        Kind::HalfHead => raw.write(&with_longest_head(&Call::chat(true, 1)).as_bytes()[..7000]),
        Kind::Streaming => {
            raw.write(with_longest_head(&Call::chat(true, 50).marked("s")).as_bytes());
            assert!(raw.read_until("\r\n\r\n"));
            if !raw.text().starts_with("HTTP/1.1 200 ") {
                assert_refused(&raw.text());
                return None;
            }
            assert!(raw.read_until("s 1 "));
            raw.write(&pipelined_bytes());
        }
        Kind::Waiting => {
            let padded = Call::chat(false, 50).padded(200 * 1024);
            raw.write(with_longest_head(&padded).as_bytes());
            raw.write(&pipelined_bytes());
        }
    }
    Some(raw)
}

fn assert_refused(text: &str) {
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.contains("x-refusal-reason: overloaded"), "{text}");
    assert!(text.contains("x-request-ran: no"), "{text}");
    assert!(text.contains("retry-after: 1\r\n"), "{text}");
}

// Callers exhaust the instance on as many connections as it allows: heads that never end, stalled
// streams with pipelined bytes, and bodies until the memory for requests is used up. The instance
// refuses what doesn't fit and reports it as not run, grows by no more than the sum of its limits,
// and keeps serving once the callers are gone.
#[test]
fn memory_is_bounded_whatever_callers_hold() {
    const MEMORY: u64 = 16 << 20;
    let count: usize = env::var(FLOOD_VARIABLE).map_or(300, |count| count.parse().unwrap());
    let most = count + 1;
    let limits = format!("connections = {most}\nconnections-per-account = {most}\n");
    let site = Site::start(&SiteSettings {
        concurrency: 10_000,
        memory: 16,
        limits: format!("{limits}head-timeout = 10 min\n"),
        ..SiteSettings::default()
    });
    site.publish(|text| text.replace("concurrency = 1000", "concurrency = 10000"));
    let entry = site.entry("entry-1");
    drop(served_connection(&entry, "team.chat"));
    let before = resident(&entry);
    site.command_all_engines(&EngineCommand::Stall { after: Some(2) });
    site.command_all_engines(&EngineCommand::Batch {
        settings: BatchSettings {
            batch_limit: count,
            kv_tokens: u64::MAX,
            ..BatchSettings::default()
        },
    });
    let kinds = [Kind::HalfHead, Kind::Streaming, Kind::Waiting];
    let flood: Vec<_> = kinds
        .iter()
        .cycle()
        .take(count)
        .map(|&kind| (kind, flood(&entry, kind)))
        .collect();
    let over = Call::chat(false, 50).padded(4 * 1024 * 1024 - 1024);
    let mut last = RawCaller::connect(entry.listen);
    last.write(over.head().as_bytes());
    assert_refused(&last.read_to_end());
    let after = resident(&entry);
    let bound = before + MEMORY + count as u64 * CONNECTION_BYTES;
    let held = entry.running("chat");
    println!("{count} connections, {held} requests: {before} bytes, then {after} of {bound}");
    assert!(after <= bound, "{after} of {bound}");
    drop((flood, last));
    site.assert_recovers(&entry);
}
