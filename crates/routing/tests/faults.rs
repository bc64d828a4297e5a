//! Tests of the router's behaviour under faults of servers, instance lists and its own process.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

mod common;

use common::Fleet;
use common::SLOTS;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::CacheChange;
use crocushold_routing::CacheEvent;
use crocushold_routing::Demand;
use crocushold_routing::Fault;
use crocushold_routing::ListSnapshot;
use crocushold_routing::ListVerdict;
use crocushold_routing::Listed;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Presence;
use crocushold_routing::Reason;
use crocushold_routing::State;
use slotmap::SlotMap;
use test_case::test_case;

fn is_ejected(state: State, expected: Fault) -> bool {
    matches!(state, State::Out { fault, .. } if fault == expected)
}

// Guards against callers with slow tokens while other servers are fast. A server that is ten times
// slower than its peers for five samples is ejected, returns on trial with one request at a time,
// and serves again once it is as fast as its peers.
#[test]
fn straggler_is_ejected_and_returns_slowly() {
    let mut fleet = Fleet::new(5);
    for _ in 0..6 {
        (0..5).for_each(|at| fleet.answer(at, 20));
    }
    for _ in 0..12 {
        if !is_ejected(fleet.state(0), Fault::Straggling) {
            fleet.answer(0, 200);
        }
    }
    assert!(is_ejected(fleet.state(0), Fault::Straggling));
    assert!(fleet.try_on(0).is_err());

    fleet.wait(3000);
    assert_eq!(fleet.state(0), State::Recovering);
    let probe = fleet.pick_on(0);
    assert!(fleet.try_on(0).is_err(), "one probe at a time");
    fleet.end(probe.attempt, Outcome::Complete);
    (0..4).for_each(|_| fleet.answer(0, 20));
    assert_eq!(fleet.state(0), State::Serving);
}

/// Guards against a server that gets no work for ever, as it was slow once and the others are idle.
#[test]
fn a_server_that_was_slow_once_gets_work_again() {
    let mut fleet = Fleet::new(8);
    for _ in 0..6 {
        (0..8).for_each(|at| fleet.answer(at, 20));
    }
    for at in [0, 1] {
        fleet.answer(at, 60);
    }
    let mut served = [0; 8];
    for _ in 0..200 {
        fleet.wait(100);
        let pick = fleet.router.pick(&fleet.demand(), fleet.now).unwrap();
        served[fleet
            .keys
            .iter()
            .position(|key| *key == pick.server)
            .unwrap()] += 1;
        fleet.end(pick.attempt, Outcome::Cancelled);
    }
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
}

// Guards against failed connections to a server whose process is gone, so that its host refuses.
// The first refusal suffices to eject it, and ten at once don't lengthen the backoff.
#[test]
fn crashed_server_is_out_at_the_first_refusal() {
    let mut fleet = Fleet::new(5);
    let picks: Vec<_> = (0..SLOTS).map(|_| fleet.pick_on(2)).collect();
    for pick in picks {
        fleet.end(pick.attempt, Outcome::Refused);
    }
    let State::Out { fault, until } = fleet.state(2) else {
        panic!("the server is in use");
    };
    assert_eq!(fault, Fault::Refused);
    assert!(until.since(fleet.now) <= Millis(600));
    assert!(fleet.try_on(2).is_err());
}

// All servers refuse connections. Each refusal is certain, so the ejection limit keeps none of them
// in use, and callers get an error with a retry time at once.
#[test]
fn all_servers_crashed_gives_a_retry_time() {
    let mut fleet = Fleet::new(3);
    for at in 0..3 {
        let pick = fleet.pick_on(at);
        fleet.end(pick.attempt, Outcome::Refused);
    }
    let demand = fleet.demand();
    let refusal = fleet.router.pick(&demand, fleet.now).unwrap_err();
    assert_eq!(refusal.reason, Reason::Out);
    assert!(refusal.retry_after <= Millis(600));
}

// Guards against giving up while servers are merely full. An attempt at one server failed and the
// others have no free slot; only when every usable server was tried is there nothing left to wait
// for.
#[test]
fn servers_that_are_full_are_not_taken_for_tried() {
    let mut fleet = Fleet::new(2);
    for _ in 0..SLOTS {
        fleet.pick_on(1);
    }
    let (failed, full) = (fleet.keys[0], fleet.keys[1]);
    let mut reason = |exclude: &[ServerKey]| {
        let demand = Demand {
            exclude,
            ..fleet.demand()
        };
        let refusal = fleet.router.pick(&demand, fleet.now).unwrap_err();
        refusal.reason
    };
    assert_eq!(reason(&[failed]), Reason::Busy);
    assert_eq!(reason(&[failed, full]), Reason::Tried);
}

// Guards against callers that wait for a server which accepts connections and never answers. The
// first-byte timeout adapts to the other servers' times, and three separate timeouts eject the
// server.
#[test]
fn hung_server_is_ejected_by_an_adapted_timeout() {
    let mut fleet = Fleet::new(5);
    assert_eq!(fleet.pick_on(0).first_byte_timeout, Millis::from_secs(30));
    for _ in 0..50 {
        let pick = fleet.pick_on(1);
        fleet
            .router
            .first_byte(pick.attempt, fleet.now + Millis(600));
        fleet.end(pick.attempt, Outcome::Complete);
    }
    let first_byte_timeout = fleet.pick_on(2).first_byte_timeout;
    assert!(
        (Millis(1000)..Millis(2500)).contains(&first_byte_timeout),
        "{first_byte_timeout}"
    );
    for _ in 0..3 {
        let pick = fleet.pick_on(3);
        fleet.wait(first_byte_timeout.0);
        fleet.end(pick.attempt, Outcome::TimedOut);
    }
    assert!(is_ejected(fleet.state(3), Fault::Hung));
}

// Guards against ejecting a server for one event. All its connections are cut at the same moment,
// which counts as one failure.
#[test]
fn simultaneous_cuts_are_one_failure() {
    let mut fleet = Fleet::new(5);
    let picks: Vec<_> = (0..SLOTS).map(|_| fleet.pick_on(0)).collect();
    for pick in picks {
        fleet.end(pick.attempt, Outcome::Cut);
    }
    assert_eq!(fleet.state(0), State::Serving);
    assert_eq!(fleet.router.standing(fleet.keys[0]).unwrap().failures, 1);
}

// Guards against ejections under overload. All servers time out, so ejecting any of them would move
// its load to the others. None is ejected, and the timeout grows.
#[test]
fn all_slow_together_ejects_nobody() {
    let mut fleet = Fleet::new(10);
    for _ in 0..4 {
        (0..10).for_each(|at| fleet.answer(at, 20));
    }
    let before = fleet.router.first_byte_timeout(Some(fleet.model));
    for _ in 0..20 {
        let picks: Vec<_> = (0..10).map(|at| fleet.pick_on(at)).collect();
        fleet.wait(1500);
        for pick in picks {
            fleet.end(pick.attempt, Outcome::TimedOut);
        }
    }
    assert!((0..10).all(|at| fleet.state(at) == State::Serving));
    let after = fleet.router.first_byte_timeout(Some(fleet.model));
    assert!(after > before, "{before} {after}");
}

// Guards against ejections when all servers become ten times slower at once. Relative to its peers
// none is a straggler.
#[test]
fn all_servers_slower_ejects_nobody() {
    let mut fleet = Fleet::new(10);
    for token_ms in [20; 6].into_iter().chain([200; 12]) {
        (0..10).for_each(|at| fleet.answer(at, token_ms));
    }
    assert!((0..10).all(|at| fleet.state(at) == State::Serving));
}

// Guards against ejecting the servers of a large model. It takes ten times as long per token as the
// other model, on two servers of ten; they are compared only with each other.
#[test]
fn slower_model_makes_no_straggler() {
    let mut fleet = Fleet::new(10);
    let small = fleet.model;
    let mut models: SlotMap<ModelKey, ()> = SlotMap::with_key();
    models.insert(());
    let large = models.insert(());
    let mut specs: Vec<_> = (0..10).map(|at| fleet.spec(at)).collect();
    specs[..2]
        .iter_mut()
        .for_each(|spec| spec.models = vec![large]);
    fleet.router.configure(&specs, fleet.now);
    for _ in 0..15 {
        fleet.model = large;
        (0..2).for_each(|at| fleet.answer(at, 100));
        fleet.model = small;
        (2..10).for_each(|at| fleet.answer(at, 10));
        assert!((0..10).all(|at| fleet.state(at) == State::Serving));
    }
}

// Guards against ejecting too many servers. A faulty version runs on half of them; the ejections
// stop at the limit and the rest keeps the service up.
#[test]
fn ejections_stop_at_the_limit() {
    let mut fleet = Fleet::new(10);
    for _ in 0..3 {
        let picks: Vec<_> = (0..5).map(|at| fleet.pick_on(at)).collect();
        fleet.wait(300);
        for pick in picks {
            fleet.end(pick.attempt, Outcome::Failed);
        }
    }
    let out = (0..10).filter(|&at| is_ejected(fleet.state(at), Fault::Failing));
    assert_eq!(out.count(), 3);
}

// A server listed as leaving finishes the attempt in flight, while new ones go elsewhere at once.
// When it is listed as live again, it returns.
#[test]
fn leaving_server_gets_no_new_work_and_finishes_the_old() {
    let mut fleet = Fleet::new(4);
    let pick = fleet.pick_on(0);
    assert_eq!(fleet.list(&[1, 2, 3], &[0]), ListVerdict::Accepted);
    assert_eq!(fleet.state(0), State::Leaving);
    assert!(fleet.try_on(0).is_err());
    assert_eq!(fleet.router.standing(pick.server).unwrap().in_flight, 1);
    fleet.end(pick.attempt, Outcome::Complete);
    fleet.list(&[0, 1, 2, 3], &[]);
    assert_eq!(fleet.state(0), State::Recovering);
}

// A server that vanished from a valid list was shut down. An older list, from a lagging replica,
// doesn't bring it back.
#[test]
fn vanished_server_counts_as_leaving() {
    let mut fleet = Fleet::new(4);
    fleet.list(&[0, 1, 2, 3], &[]);
    fleet.list(&[1, 2, 3], &[]);
    assert_eq!(fleet.state(0), State::Vanished);
    let old = ListSnapshot::default();
    let verdict = fleet.router.instance_list(&old, fleet.now);
    assert_eq!(verdict, ListVerdict::Outdated);
    assert_eq!(fleet.state(0), State::Vanished);
}

// Guards against an outage caused by a wrong list. The list is empty or lost most servers at once
// while all of them run; only servers explicitly listed as leaving are affected.
#[test_case(&[], &[] ; "empty")]
#[test_case(&[1], &[] ; "lost over half")]
#[test_case(&[1], &[0] ; "lost half, and one leaving")]
fn suspect_list_changes_only_explicit_leavings(live: &[usize], leaving: &[usize]) {
    let mut fleet = Fleet::new(5);
    assert_eq!(fleet.list(live, leaving), ListVerdict::Suspect);
    for at in 0..5 {
        let serving = fleet.state(at) == State::Serving;
        assert_eq!(serving, !leaving.contains(&at));
    }
}

// Guards against three failures for every return of a broken server. After an ejection, the first
// failed request ejects it again, for twice as long.
#[test]
fn failed_trial_doubles_the_wait() {
    let mut fleet = Fleet::new(5);
    for _ in 0..3 {
        let pick = fleet.pick_on(0);
        fleet.wait(300);
        fleet.end(pick.attempt, Outcome::Cut);
    }
    fleet.wait(2500);
    let pick = fleet.pick_on(0);
    fleet.end(pick.attempt, Outcome::Cut);
    let State::Out { until, .. } = fleet.state(0) else {
        panic!("the server is in use");
    };
    assert!(until.since(fleet.now) >= Millis(3200));
}

// Guards against a server that fails fast and attracts the traffic. A server that reports overload
// within a millisecond has nothing in flight, so it looks like the best choice.
#[test_case(Outcome::Overloaded ; "overloaded")]
#[test_case(Outcome::Failed ; "failed")]
fn fast_failure_attracts_no_traffic(outcome: Outcome) {
    let mut fleet = Fleet::new(5);
    for at in 0..5 {
        fleet.pick_on(at);
    }
    let mut failures = 0;
    for _ in 0..300 {
        fleet.wait(2);
        let pick = fleet.pick();
        let bad = pick.server == fleet.keys[0];
        failures += u32::from(bad);
        fleet.end(pick.attempt, if bad { outcome } else { Outcome::Complete });
    }
    assert!(failures <= 10, "{failures}");
}

// A server that reports overload gets half as many requests, and one more after each success. The
// others wait in this instance instead of being refused by the server.
#[test]
fn overloaded_server_gets_half() {
    let mut fleet = Fleet::new(5);
    let picks: Vec<_> = (0..SLOTS).map(|_| fleet.pick_on(0)).collect();
    fleet.end(picks[0].attempt, Outcome::Overloaded);
    let limit = |fleet: &Fleet| fleet.router.standing(fleet.keys[0]).unwrap().limit;
    assert_eq!(limit(&fleet), 1);
    fleet.end(picks[1].attempt, Outcome::Complete);
    assert_eq!(limit(&fleet), 2);
}

// Guards against a queue at a near server that costs more than the network latency to another zone.
// Another zone costs less than one request of load, but decides between equal servers.
#[test]
fn near_zone_wins_between_equals_only() {
    let mut fleet = Fleet::new(2);
    let mut specs = [fleet.spec(0), fleet.spec(1)];
    specs[1].zone = "stgo-b".to_owned();
    fleet.router.configure(&specs, fleet.now);
    assert_eq!(fleet.pick().server, fleet.keys[0]);
    assert_eq!(fleet.pick().server, fleet.keys[1]);
    assert_eq!(fleet.pick().server, fleet.keys[0]);
}

// Guards against counting an old failure towards an ejection.
#[test]
fn old_failure_is_forgotten() {
    let mut fleet = Fleet::new(5);
    let pick = fleet.pick_on(0);
    fleet.end(pick.attempt, Outcome::Cut);
    (0..11).for_each(|_| fleet.wait(1000));
    assert_eq!(fleet.router.standing(fleet.keys[0]).unwrap().failures, 0);
}

// Guards against sending requests to leaving servers after a restart of the list service, whose
// revisions start again from the beginning. After a minute of lower revisions its lists are
// accepted.
#[test]
fn restarted_list_is_taken_after_a_minute() {
    let mut fleet = Fleet::new(4);
    for _ in 0..9 {
        fleet.list(&[0, 1, 2, 3], &[]);
    }
    let listed = |&server: &ServerKey| Listed {
        server,
        presence: Presence::Live,
    };
    let list = ListSnapshot {
        revision: 2,
        servers: fleet.keys[1..].iter().map(listed).collect(),
    };
    for _ in 0..60 {
        let verdict = fleet.router.instance_list(&list, fleet.now);
        assert_eq!(verdict, ListVerdict::Outdated);
        fleet.wait(1000);
    }
    let verdict = fleet.router.instance_list(&list, fleet.now);
    assert_eq!(verdict, ListVerdict::Accepted);
    assert_eq!(fleet.state(0), State::Vanished);
}

// Guards against requests to servers that shut down while the process was suspended. After a
// suspension of a minute, nothing is sent until the list was read again, and that list is trusted.
#[test]
fn resumed_process_waits_for_a_fresh_list() {
    let mut fleet = Fleet::new(4);
    fleet.list(&[0, 1, 2, 3], &[]);
    fleet.wait(60_000);
    let demand = fleet.demand();
    assert_eq!(fleet.router.free(fleet.now), 0);
    let refusal = fleet.router.pick(&demand, fleet.now).unwrap_err();
    assert_eq!(refusal.reason, Reason::Stale);
    assert!(refusal.retry_after <= Millis(1000));
    fleet.list(&[1, 2, 3], &[0]);
    assert!(fleet.try_on(0).is_err());
    assert_eq!(fleet.router.free(fleet.now), 3 * SLOTS as usize);
}

// Guards against an outage of our own making when no list can be read after a suspension. Each
// server is tried with one request first.
#[test_case(true ; "the read fails")]
#[test_case(false ; "no read ends within the grace")]
fn resumed_process_without_a_list_tries_one_at_a_time(failed: bool) {
    let mut fleet = Fleet::new(4);
    fleet.list(&[0, 1, 2, 3], &[]);
    fleet.wait(60_000);
    assert_eq!(fleet.router.free(fleet.now), 0);
    if failed {
        fleet.router.list_unavailable(fleet.now);
    } else {
        fleet.wait(1000);
    }
    assert_eq!(fleet.router.free(fleet.now), 4);
}

// Nothing changes while the list can't be read for an hour and the process is running.
#[test]
fn long_list_outage_changes_nothing() {
    let mut fleet = Fleet::new(4);
    fleet.list(&[0, 1, 2, 3], &[]);
    for _ in 0..3600 {
        fleet.wait(1000);
        fleet.router.list_unavailable(fleet.now);
    }
    assert_eq!(fleet.router.free(fleet.now), 4 * SLOTS as usize);
}

// Guards against ejecting servers after a suspension. The process is suspended past the timeouts of
// its attempts; the timeouts that expire afterwards aren't evidence against the servers.
#[test]
fn timeouts_during_a_suspension_are_no_failures() {
    let mut fleet = Fleet::new(5);
    let picks: Vec<_> = (0..5).map(|at| fleet.pick_on(at)).collect();
    fleet.wait(60_000);
    for pick in picks {
        fleet.end(pick.attempt, Outcome::TimedOut);
    }
    for key in fleet.keys.clone() {
        assert_eq!(fleet.router.standing(key).unwrap().failures, 0);
    }
}

fn stored(seq: u64, prefix: u64) -> CacheEvent {
    CacheEvent {
        seq,
        change: CacheChange::Stored,
        prefix,
    }
}

fn home(fleet: &mut Fleet, prefix: u64) -> ServerKey {
    let demand = Demand {
        prefix: Some(prefix),
        ..fleet.demand()
    };
    let pick = fleet.router.pick(&demand, fleet.now).unwrap();
    fleet.end(pick.attempt, Outcome::Cancelled);
    pick.server
}

// Guards against sending prompts to a cold cache after lost cache events. One of the lost events
// may be an eviction, so after a gap the earlier hints of that server are invalid and the ring
// decides.
#[test]
fn missed_cache_events_invalidate_earlier_hints() {
    let mut fleet = Fleet::new(8);
    let ring = home(&mut fleet, 5);
    let other = *fleet.keys.iter().find(|&&key| key != ring).unwrap();
    fleet.router.cache_event(other, stored(1, 5));
    assert_eq!(home(&mut fleet, 5), other);
    fleet.router.cache_event(other, stored(1, 6));
    assert_ne!(home(&mut fleet, 6), other, "a repeated number is ignored");
    fleet.router.cache_event(other, stored(3, 7));
    assert_eq!(home(&mut fleet, 5), ring);
    assert_eq!(home(&mut fleet, 7), other);
}

// Guards against a queue at the home of a popular prefix while other servers are idle. The home is
// chosen only while its cost is near that of the sampled servers.
#[test]
fn popular_prefix_spills_over() {
    let mut fleet = Fleet::new(8);
    let demand = Demand {
        prefix: Some(5),
        ..fleet.demand()
    };
    let now = fleet.now;
    for _ in 0..8 {
        fleet.router.pick(&demand, now).unwrap();
    }
    let keys = fleet.keys.iter();
    let loads = keys.map(|&key| fleet.router.standing(key).unwrap().in_flight);
    let busiest = loads.max().unwrap();
    assert!((2..=3).contains(&busiest), "{busiest}");
}

// A load report shows that other instances fill a server. Choices avoid it until the report has
// expired.
#[test]
fn lagged_report_counts_less_with_age() {
    let mut fleet = Fleet::new(2);
    let busy = LoadReport {
        running: 40,
        waiting: 40,
        age: Millis::ZERO,
        ..LoadReport::default()
    };
    fleet.router.load_report(fleet.keys[0], busy, fleet.now);
    fleet
        .router
        .load_report(fleet.keys[1], LoadReport::default(), fleet.now);
    assert!(!fleet.is_picked(0));
    fleet.wait(4000);
    assert!(fleet.is_picked(0));
}

// Guards against unclear outcomes of requests that must not be repeated. When a server returns,
// non-idempotent requests and those of the most urgent tier don't test it while another server is
// available.
#[test_case(1, false ; "non idempotent")]
#[test_case(0, true ; "most urgent")]
fn sensitive_requests_test_no_server(priority: u8, idempotent: bool) {
    let mut fleet = Fleet::new(2);
    fleet.list(&[0], &[1]);
    fleet.list(&[0, 1], &[]);
    assert_eq!(fleet.state(1), State::Recovering);
    let demand = Demand {
        priority,
        idempotent,
        ..fleet.demand()
    };
    for _ in 0..20 {
        let pick = fleet.router.pick(&demand, fleet.now).unwrap();
        assert_eq!(pick.server, fleet.keys[0]);
        fleet.end(pick.attempt, Outcome::Cancelled);
    }
}

/// Guards against choices by outdated reports. If the choice followed reports that arrive every two
/// minutes, one server would get no requests and another all of them until the next report.
#[test]
fn a_rare_report_does_not_influence_the_choice() {
    let mut fleet = Fleet::new(2);
    let report = LoadReport {
        running: 1000,
        ..LoadReport::default()
    };
    fleet.router.record_occupancy(fleet.keys[0], report);
    assert!(fleet.is_picked(0));
    assert!(fleet.is_picked(1));
}
