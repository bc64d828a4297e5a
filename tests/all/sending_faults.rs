//! Faults while a connection is opened or a request is on its way to its server.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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

/// More than the sockets' buffers hold, so that a server which doesn't read stops the sender.
const LARGE: usize = 4_000_000;

/// A booking whose body doesn't fit into the sockets' buffers.
fn large_booking(marker: &str) -> Call {
    Call {
        body: "x".repeat(LARGE),
        ..Call::booking(marker)
    }
}

/// An instance for which the first server of the plain service, or the first engine, is at
/// `address` instead.
fn entry_with(site: &Site, old: SocketAddr, address: SocketAddr) -> Entry {
    site.publish(|text| text.replace(&old.to_string(), &address.to_string()));
    let entry = site.entry("entry-1");
    entry.wait_active(2);
    entry
}

// A server doesn't finish taking in a booking and closes its connection. Some of the bytes left, so
// the booking may have been made: the caller hears "unknown", and the second server gets nothing.
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

// An engine takes in half of a request and closes its connection. The request is idempotent and no
// byte of an answer was relayed, so the other engine gets it and the caller sees a whole answer.
#[test]
fn a_model_call_cut_while_it_is_sent_goes_elsewhere() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.engines[0].addr(), server.addr());
    let cuts = server.cut_all();
    let padding = format!("{{\"metadata\":\"{}\",", "x".repeat(LARGE / 2));
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

// A server stops taking in a request, and the caller leaves. The request isn't finished for nobody:
// the connection is cut and the slot comes back.
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

// A stop is asked for while a server is still taking in a request. The rest is sent and the answer
// relayed before the process ends.
#[test]
fn a_planned_stop_finishes_what_is_being_sent() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let mut entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("stop"));
    let stream = server.accept();
    entry.signal("TERM");
    entry.wait_closed();
    answer_rest(stream, LARGE);
    let answer = caller.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole && answer.body == "ok");
    assert!(entry.wait_exit());
}

// A process is stopped while a server takes in its request, and woken. The rest is sent as if
// nothing had been; the server sees one request, and the caller its answer.
#[test]
fn a_frozen_instance_finishes_what_is_being_sent() {
    let site = Site::start(&SiteSettings::default());
    let server = RawServer::start();
    let entry = entry_with(&site, site.service.addr(), server.addr());
    let caller = spawn_call(entry.listen, &large_booking("thaw"));
    let stream = server.accept();
    entry.signal("STOP");
    entry.signal("CONT");
    answer_rest(stream, LARGE);
    let answer = caller.join().unwrap().unwrap();
    assert!(answer.status == 200 && answer.whole && answer.body == "ok");
    entry.wait_idle();
    assert!(!server.has_request(), "sent again");
}

// Packets to one server vanish, so that connecting to it hangs. The bound on connecting proves that
// nothing was sent: a booking goes to the other server, runs there once, and its caller waits little.
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

// Packets to the only server vanish. The caller is told that nothing ran, which the server that
// nobody reached confirms, and the slot comes back.
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

// A caller leaves while its request waits for a connection that hangs. The slot comes back because the
// caller is gone, and not only when the bound on connecting has passed: it counts as cancelled.
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

// The only server of a booking dies when it has taken in half of it. Some of the bytes left, so the
// caller hears "unknown" and no invitation to come back, and the slot comes back.
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

// A server answers 503 to a booking whose body it hasn't read, and closes. A status proves nothing, and
// bytes left: whichever of answer and cut the instance sees, the booking is sent once and nobody is
// told that it didn't run.
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

/// A site with one engine behind a relay, and an instance that reaches it through the relay alone.
fn relayed_engine() -> (Site, Relay, Entry) {
    let site = Site::start(&SiteSettings {
        engines: 1,
        ..SiteSettings::default()
    });
    let relay = Relay::start(site.engines[0].addr());
    let entry = entry_with(&site, site.engines[0].addr(), relay.addr());
    (site, relay, entry)
}

// What the instance sends to an engine is lost from the middle of a stream on, while the engine's bytes
// still come. A caller that stays gets its whole answer. One that leaves is forgotten by the instance,
// although the engine can't be told: the slot comes back, and the engine's work runs out by itself.
#[test]
fn a_partition_towards_the_engine_cuts_no_stream() {
    let (site, relay, entry) = relayed_engine();
    let mut stays = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("stays"));
    let mut leaves = RawCaller::send(entry.listen, &Call::chat(true, 100).marked("leaves"));
    assert!(stays.read_until("stays 1 ") && leaves.read_until("leaves 1 "));
    relay.cut_to_server();
    drop(leaves);
    wait("the slot of the one that left is back", || {
        entry.running("chat") == 1
    });
    assert!(stays.read_until("[DONE]\n\n\r\n0\r\n\r\n"), "cut");
    assert!(stays.text().contains("stays 99 "));
    entry.wait_idle();
    assert_eq!(site.runs("stays") + site.runs("leaves"), 2);
}

// What a server sends is lost while a booking waits for its answer. The booking was made, nobody can
// tell: it isn't sent again, the caller hears "unknown" at its bound, and the slot comes back.
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

// Packets between an instance and an engine are lost both ways while requests wait for their first
// byte, as a kept connection finds when the partition came while it was idle. The bound of each ends
// the wait: it may have run, and the slots come back.
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
