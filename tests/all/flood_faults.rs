//! Callers that take all they can get: connections of one account, and memory.

use crate::support::Call;
use crate::support::Entry;
use crate::support::Raw;
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

/// A connection that was served once and is kept open.
fn kept(entry: &Entry, key: &str) -> Raw {
    let mut raw = Raw::send(entry.listen, &Call::chat(true, 2).key(key));
    assert!(raw.read_until(LAST_CHUNK), "{}", raw.text());
    raw
}

// One client account opens connections without end and keeps them idle after a first answer. It gets
// as many as one account may hold: the next one is refused at once, before its body is sent, and
// closed. Others are served meanwhile, and a closed connection makes room for the next.
#[test]
fn one_account_holds_a_bounded_number_of_connections() {
    let site = site("connections = 8\nconnections-per-account = 3\n");
    let entry = site.entry("entry-1");
    let mut held: Vec<Raw> = (0..3).map(|_| kept(&entry, "team.chat")).collect();
    let over = Call::chat(true, 2).marked("over");
    let mut refused = Raw::connect(entry.listen);
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
    kept(&entry, "team.batch");
    let again = Call::chat(true, 2).marked("again");
    held[0].write(format!("{}{}", again.head(), again.body).as_bytes());
    assert!(held[0].read_until("again 1 "), "a counted one is served on");
    held.pop();
    wait("the place is free", || {
        call(entry.listen, &over).is_some_and(|answer| answer.status == 200)
    });
}

// A balancer sends requests of several accounts over one connection. It counts for the account of its
// latest request alone: were it counted for all of them, a few connections of the balancer would use
// up the places of every account.
#[test]
fn a_shared_connection_counts_for_its_latest_account_only() {
    let site = site("connections-per-account = 1\n");
    let entry = site.entry("entry-1");
    let mut shared = kept(&entry, "team.chat");
    let batch = Call::chat(true, 2).key("team.batch").marked("moved");
    shared.write(format!("{}{}", batch.head(), batch.body).as_bytes());
    assert!(shared.read_until("moved 1 "));
    drop(kept(&entry, "team.chat"));
    let refused = call(entry.listen, &batch).unwrap();
    assert_eq!(refused.header("x-refusal-reason"), "connections_limited");
}

// A flood of wrong keys must not take an account's places, and a key that no account has counts for
// none.
#[test]
fn wrong_keys_take_no_places() {
    let site = site("connections-per-account = 1\n");
    let entry = site.entry("entry-1");
    let strangers: Vec<Raw> = (0..4)
        .map(|_| {
            let mut raw = Raw::send(entry.listen, &Call::chat(true, 2).key("team.nobody"));
            assert!(raw.read_until("unauthorized"));
            raw
        })
        .collect();
    kept(&entry, "team.chat");
    drop(strangers);
}

// An account's requests wait for the only slot. As many as it may have in the queue wait on; the next
// one is told at once that nothing ran and when to come back, and keeps its connection.
#[test]
fn one_account_has_a_bounded_number_of_requests_in_a_queue() {
    let site = Site::start(&SiteSettings {
        engines: 1,
        concurrency: 1,
        limits: "queued-per-account = 2\n".to_owned(),
        ..SiteSettings::default()
    });
    let entry = site.entry("entry-1");
    let running = Raw::send(entry.listen, &Call::batch(5000).marked("running"));
    wait("the only slot is taken", || site.runs("running") == 1);
    let queued = [0; 2].map(|_| Raw::send(entry.listen, &Call::batch(2)));
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
