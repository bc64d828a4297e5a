//! Faults while a connection is being opened or a request is being sent to its server.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::RawCaller;
use crate::support::RawServer;
use crate::support::Relay;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::answer_rest;
use crate::support::call;
use crate::support::spawn_call;
use crate::support::wait;
use crate::support::wait_cut;

/// More bytes than the socket buffers hold, so that a server that doesn't read blocks the sender.
const LARGE_BODY: usize = 4_000_000;

/// A booking whose body doesn't fit into the socket buffers.
fn large_booking(marker: &str) -> Call {
    Call {
        body: "x".repeat(LARGE_BODY),
        ..Call::booking(marker)
    }
}

/// Starts an instance whose configuration has `address` in place of the server address `old`.
fn entry_with(site: &Site, old: SocketAddr, address: SocketAddr) -> Entry {
    site.publish(|text| text.replace(&old.to_string(), &address.to_string()));
    let entry = site.entry("entry-1");
    entry.wait_active(2);
    entry
}

// A server closes its connection before it has read a whole booking. Some bytes were sent, so the
// booking may have been made: the caller is told "unknown", and the second server gets nothing.
#[test]
fn a_booking_cut_while_it_is_sent_is_not_repeated() {
    let site = Site::start(&SiteSettings::default());
    let (server, second) = (RawServer::start(), RawServer::start());
    let both = format!(
        "[server booking/booking-1]\naddress = {}\nzone = zone-a\n\n[class chat]",
        second.addr()
    );
    site.publish(|text| {
        let text = text.replace(&site.service.addr().to_string(), &server.addr().to_string());
        text.replace("[class chat]", &both)
    });
    let entry = site.entry("entry-1");
    entry.wait_active(2);
    let calls: Vec<_> = (0..2)
        .map(|_| spawn_call(entry.listen, &large_booking("cut")))
        .collect();
    drop(server.accept());
    drop(second.accept());
    for answer in calls {
        let answer = answer.join().unwrap().unwrap();
        assert_eq!(answer.status, 502, "{}", answer.body);
        assert_eq!(answer.header("x-request-ran"), "unknown");
    }
    entry.wait_idle();
    assert!(!server.has_request() && !second.has_request(), "sent again");
}

// An engine reads half of a request and closes its connection. The request is idempotent and no
// byte of an answer was relayed, so it is retried on the other engine and the caller gets a
// complete answer.
#[test]
fn a_model_call_cut_while_it_is_sent_goes_elsewhere() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.engines[0].addr(), server.addr());
    let cuts = server.cut_all();
    let padding = format!("{{\"metadata\":\"{}\",", "x".repeat(LARGE_BODY / 2));
    let mut number = 0;
    wait("the server that cuts got a request", || {
        number += 1;
        let mut request = Call::chat(true, 3).marked(&number.to_string());
        request.body = request.body.replacen('{', &padding, 1);
        let answer = call(entry.listen, &request).unwrap();
        assert!(answer.status == 200 && answer.whole, "{}", answer.body);
        cuts.load(Ordering::Relaxed) > 0
    });
    entry.wait_idle();
}

// A server stops reading a request, and the caller disconnects. The request isn't sent any further:
// the connection is closed and the slot is released.
#[test]
fn a_caller_gone_while_its_request_is_sent_cuts_it() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = RawCaller::send(entry.listen, &large_booking("gone"));
    let stream = server.accept();
    assert_eq!(entry.running("confirm"), 1);
    drop(caller);
    entry.wait_idle();
    wait_cut(stream);
}

// A graceful shutdown is requested while a server is still reading a request. The rest is sent and
// the answer relayed before the process exits.
#[test]
fn a_planned_stop_finishes_what_is_being_sent() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let mut entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("stop"));
    let stream = server.accept();
    entry.signal("TERM");
    entry.wait_closed();
    answer_rest(stream, LARGE_BODY);
    let answer = caller.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole && answer.body == "ok");
    assert!(entry.wait_exit());
}

// A process is frozen while a server reads its request, and resumes. The rest is sent as usual; the
// server sees one request, and the caller gets its answer.
#[test]
fn a_frozen_instance_finishes_what_is_being_sent() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("thaw"));
    let stream = server.accept();
    entry.signal("STOP");
    entry.signal("CONT");
    answer_rest(stream, LARGE_BODY);
    let answer = caller.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole && answer.body == "ok");
    entry.wait_idle();
    assert!(!server.has_request(), "sent again");
}

// Packets to one server are dropped, so that connecting to it hangs. The connect timeout proves
// that nothing was sent: a booking goes to the other server, runs there once, and its caller waits
// only briefly.
#[test]
fn a_server_behind_a_partition_is_given_up_while_connecting() {
    let site = Site::start(&SiteSettings {
        services: 2,
        ..SiteSettings::default()
    });
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let waiting = server.fill_backlog();
    for number in 0..6 {
        let marker = format!("split-{number}");
        let start = Instant::now();
        let answer = call(entry.listen, &Call::booking(&marker)).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(site.effects(&marker), 1);
        assert!(start.elapsed() < Duration::from_secs(4));
    }
    drop(waiting);
    entry.wait_idle();
}

// Packets to the only server are dropped. The caller is told that nothing ran, which the unreached
// server confirms, and the slot is released.
#[test]
fn behind_a_partition_nothing_ran() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let waiting = server.fill_backlog();
    let answer = call(entry.listen, &Call::booking("split")).unwrap();
    assert!(answer.status >= 500);
    assert_eq!(answer.header("x-request-ran"), "no", "{}", answer.body);
    entry.wait_idle();
    drop(waiting);
}

// A caller disconnects while its request waits for a connection that hangs. The slot is released
// because the caller left rather than at the connect timeout: the request counts as cancelled.
#[test]
fn a_caller_gone_while_connecting_gives_its_slot_back() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let waiting = server.fill_backlog();
    let caller = RawCaller::send(entry.listen, &Call::booking("gone"));
    wait("it is in flight", || entry.running("confirm") == 1);
    drop(caller);
    entry.wait_idle();
    assert_eq!(entry.ended("confirm", "cancelled"), 1);
    drop(waiting);
}

// The only server of a booking crashes when it has read half of it. Some bytes were sent, so the
// caller is told "unknown" without a time to retry, and the slot is released.
#[test]
fn a_booking_whose_server_crashes_while_it_is_sent_is_unknown() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("crash"));
    let stream = server.accept();
    drop(server);
    drop(stream);
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "unknown");
    assert_eq!(answer.header("retry-after"), "");
    entry.wait_idle();
}

// A server answers 503 to a booking whose body it hasn't read, and closes the connection. The
// status proves nothing, and bytes were sent: whether the instance sees the answer or the closed
// connection, the booking is sent once and nobody is told that it didn't run.
#[test]
fn a_booking_answered_unavailable_while_it_is_sent_is_sent_once() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("busy"));
    let mut stream = server.accept();
    let busy = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(busy).unwrap();
    drop(stream);
    let answer = caller.join().unwrap().unwrap();
    assert!(answer.status >= 500, "{}", answer.status);
    assert_ne!(answer.header("x-request-ran"), "no", "{}", answer.body);
    entry.wait_idle();
    assert!(!server.has_request(), "sent again");
}

/// Guards against bytes of a server in trouble that reach the caller of a long booking as an answer: no status, or
/// a part of a body that only its connection delimits, sent before the booking was read.
#[test_case("HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\nok"; "status 000")]
#[test_case("HTTP/1.1 101 Switching Protocols\r\n\r\n"; "protocol switch")]
#[test_case("HTTP/1.1 999 Beyond\r\ncontent-length: 2\r\n\r\nok"; "status 999")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nhalf of"; "ends with its connection")]
fn a_booking_answered_by_no_answer_while_it_is_sent_is_unknown(text: &str) {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("odd"));
    let mut stream = server.accept();
    stream.write_all(text.as_bytes()).unwrap();
    drop(stream);
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "unknown");
    entry.wait_idle();
    assert!(!server.has_request(), "sent again");
}

/// A site with one engine behind a relay, and an instance that reaches the engine through the relay
/// only.
fn relayed_engine() -> (Site, Relay, Entry) {
    let site = Site::start(&SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    });
    let relay = Relay::start(site.engines[0].addr());
    let entry = entry_with(&site, site.engines[0].addr(), relay.addr());
    (site, relay, entry)
}

// What the instance sends to an engine is dropped from the middle of a stream on, while the
// engine's bytes still arrive. A caller that stays gets its complete answer. For one that
// disconnects, the slot is released although the engine can't be told; the engine's work ends by
// itself.
#[test]
fn a_partition_towards_the_engine_cuts_no_stream() {
    let (site, relay, entry) = relayed_engine();
    let mut stays = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("stays"));
    let mut leaves = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("leaves"));
    assert!(stays.read_until("stays 1 ") && leaves.read_until("leaves 1 "));
    relay.cut_to_server();
    drop(leaves);
    wait("the slot of the caller that left is released", || {
        entry.running("chat") == 1
    });
    assert!(stays.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(stays.text().contains("stays 99 "));
    entry.wait_idle();
    assert_eq!(site.runs("stays") + site.runs("leaves"), 2);
}

// What a server sends is dropped while a booking waits for its answer. The booking was made, but
// the instance can't know: it isn't sent again, the caller is told "unknown" at its deadline, and
// the slot is released.
#[test]
fn a_partition_from_the_server_leaves_a_booking_unknown() {
    let site = Site::start(&SiteSettings::default());
    let relay = Relay::start(site.service.addr());
    let entry = entry_with(&site, site.service.addr(), relay.addr());
    relay.cut_to_entry();
    let booking = Call::booking("lost").header("x-timeout-ms", "800");
    let answer = call(entry.listen, &booking).unwrap();
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert_eq!(answer.header("x-request-ran"), "unknown");
    assert_eq!(answer.header("retry-after"), "");
    assert_eq!(site.effects("lost"), 1);
    entry.wait_idle();
}

// Packets between an instance and an engine are dropped in both directions while requests wait for
// their first byte, as when a partition occurs while a kept connection is idle. The deadline of
// each request ends the wait: it may have run, and the slots are released.
#[test]
fn a_partition_found_by_a_kept_connection_ends_at_the_bound() {
    let (_site, relay, entry) = relayed_engine();
    assert!(call(entry.listen, &Call::chat(true, 2)).unwrap().whole);
    relay.cut_to_server();
    relay.cut_to_entry();
    let request = Call::chat(true, 2).header("x-timeout-ms", "800");
    let start = Instant::now();
    let answer = call(entry.listen, &request).unwrap();
    assert!(answer.status >= 500, "{}", answer.status);
    assert_ne!(answer.header("x-request-ran"), "no", "{}", answer.body);
    assert!(start.elapsed() < Duration::from_secs(4));
    entry.wait_idle();
}
