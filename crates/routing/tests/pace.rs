//! Tests of paced servers: those that start cold during a burst, and those that name a limit.

#[path = "common/engines.rs"]
mod engines;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Placement;
use crocushold_routing::Reason;
use crocushold_routing::Router;
use test_case::test_case;

use engines::START;

/// Requests per second that a cold server tolerates.
const RATE: f64 = 10.0;

/// The most that it tolerates within one second: half as many more, plus five.
const MAX_PER_SECOND: usize = 20;

const COLD_UNTIL: Millis = Millis(13_000);

/// Time between two requests of a burst.
const STEP: Millis = Millis(2);

const UNIQUE_TOKENS: u32 = 500;

struct Burst {
    router: Router,
    keys: Vec<ServerKey>,
}

impl Burst {
    /// A router with `warm` warm and `cold` cold servers.
    fn new(warm: usize, cold: usize) -> Burst {
        let (mut router, keys) = engines::router(warm + cold, 64);
        router.set_cold_rate(Some(RATE));
        for key in &keys[warm..] {
            router.set_cold(*key, COLD_UNTIL);
        }
        Burst { router, keys }
    }

    /// Sends as many requests as possible for `span`, each lasting 100 ms. Returns the times of the
    /// requests of each server.
    fn run(&mut self, demand: &Demand<'_>, from: Millis, span: Millis) -> Vec<Vec<Millis>> {
        let mut sent = vec![Vec::new(); self.keys.len()];
        let mut running = Vec::new();
        let mut now = from;
        while now < from + span {
            running.retain(|(attempt, ends)| {
                let ended = *ends <= now;
                if ended {
                    self.router.done(*attempt, Outcome::Complete, 10, now);
                }
                !ended
            });
            if let Ok(pick) = self.router.pick(demand, now) {
                let place = self.keys.iter().position(|key| *key == pick.server);
                sent[place.expect("it is configured")].push(now);
                running.push((pick.attempt, now + Millis(100)));
            }
            now += STEP;
        }
        sent
    }
}

fn demand(allow_paced: bool, unique_tokens: u32) -> Demand<'static> {
    Demand {
        unique_tokens,
        tokens: UNIQUE_TOKENS,
        central: allow_paced,
        allow_paced,
        ..Demand::default()
    }
}

/// The maximum number of requests within any second.
fn max_per_second(times: &[Millis]) -> usize {
    let second = |start: &Millis| {
        let within = times.iter().filter(|at| **at >= *start);
        within.filter(|at| at.since(*start) < Millis(1000)).count()
    };
    times.iter().map(second).max().unwrap_or(0)
}

/// Guards against flooding a server that looks idle because it has just started.
#[test_case(UNIQUE_TOKENS; "an engine")]
#[test_case(0; "a plain server")]
fn a_cold_server_is_sent_requests_at_a_pace(own: u32) {
    let mut burst = Burst::new(1, 2);
    let sent = burst.run(&demand(true, own), START, Millis(3000));
    for cold in &sent[1..] {
        let count = max_per_second(cold);
        assert!(count <= RATE as usize, "{count} in a second");
        assert!(count > RATE as usize / 2, "{count}: it should be used");
    }
    let sent = burst.run(&demand(true, own), COLD_UNTIL, Millis(1000));
    assert!(max_per_second(&sent[1]) > MAX_PER_SECOND, "it is warm");
}

/// Guards against many instances that each send a few requests to the same cold server.
#[test_case(UNIQUE_TOKENS; "an engine")]
#[test_case(0; "a plain server")]
fn instances_that_choose_on_their_own_skip_cold_servers(own: u32) {
    let mut burst = Burst::new(1, 30);
    let sent = burst.run(&demand(false, own), START, Millis(1000));
    assert!(sent[0].len() > 100, "{}", sent[0].len());
    assert!(sent[1..].iter().all(Vec::is_empty));
}

/// Guards against two instances that place at the same time and together exceed what a cold server
/// tolerates.
#[test]
fn two_placing_instances_stay_below_what_a_cold_server_tolerates() {
    let runs = [0, 1].map(|offset| {
        let mut burst = Burst::new(0, 1);
        burst.run(
            &demand(true, UNIQUE_TOKENS),
            START + Millis(offset),
            Millis(2000),
        )
    });
    let mut both: Vec<Millis> = runs.into_iter().flatten().flatten().collect();
    both.sort_unstable();
    let count = max_per_second(&both);
    assert!(count <= MAX_PER_SECOND, "{count} in a second");
}

/// Guards against a refusal without a retry time, or with one at which all servers are still cold.
#[test]
fn with_only_cold_servers_the_retry_time_is_when_one_is_warm() {
    let mut burst = Burst::new(0, 2);
    let refused = burst.router.pick(&demand(false, UNIQUE_TOKENS), START);
    let cold = NoServer {
        reason: Reason::Cold,
        retry_after: COLD_UNTIL.since(START),
    };
    assert_eq!(refused.map(|pick| pick.server), Err(cold));
}

/// Guards against rejecting a placement by the instance that uses the cold rate.
#[test]
fn a_cold_server_accepts_placements() {
    let mut burst = Burst::new(1, 1);
    let placement = Placement {
        server: burst.keys[1],
        source: None,
        wait: Millis::ZERO,
        prefill_tokens: UNIQUE_TOKENS,
    };
    let pick = burst
        .router
        .adopt(&placement, &demand(false, UNIQUE_TOKENS), START);
    assert_eq!(pick.map(|pick| pick.server), Some(burst.keys[1]));
}

/// Requests per second that a server accepts by its own word.
const LIMIT: f64 = 4.0;

/// The most that it may get within four seconds: half as many more, plus five.
const MAX_IN_FOUR_SECONDS: usize = 29;

fn max_in_four_seconds(times: &[Millis]) -> usize {
    let window = |start: &Millis| {
        let within = times.iter().filter(|at| **at >= *start);
        within.filter(|at| at.since(*start) < Millis(4000)).count()
    };
    times.iter().map(window).max().unwrap_or(0)
}

/// Guards against sending as many requests to a server in need as to the others.
#[test_case(UNIQUE_TOKENS; "an engine")]
#[test_case(0; "a plain server")]
fn a_limited_server_is_sent_requests_at_a_pace(own: u32) {
    let mut burst = Burst::new(2, 0);
    let limited = burst.keys[0];
    burst.router.set_limit(limited, Some(LIMIT), START);
    let sent = burst.run(&demand(true, own), START, Millis(8000));
    let count = max_in_four_seconds(&sent[0]);
    assert!(count <= 4 * LIMIT as usize, "{count} in four seconds");
    assert!(count > 2 * LIMIT as usize, "{count}: it should be used");
    burst.router.set_limit(limited, None, Millis(18_000));
    let sent = burst.run(&demand(true, own), Millis(18_000), Millis(4000));
    let count = max_in_four_seconds(&sent[0]);
    assert!(count > MAX_IN_FOUR_SECONDS, "{count}: the limit has ended");
}

/// Guards against a limit that several instances exceed together.
#[test]
fn instances_that_choose_on_their_own_skip_limited_servers() {
    let mut burst = Burst::new(2, 0);
    let limited = burst.keys[0];
    burst.router.set_limit(limited, Some(LIMIT), START);
    assert!(burst.router.has_paced(START));
    let sent = burst.run(&demand(false, UNIQUE_TOKENS), START, Millis(1000));
    assert!(sent[0].is_empty());
    assert!(sent[1].len() > 100, "{}", sent[1].len());
}

/// Guards against two instances that place at the same time, each with the whole limit.
#[test]
fn two_placing_instances_stay_below_a_limit() {
    let runs = [0, 1].map(|offset| {
        let mut burst = Burst::new(1, 0);
        let limited = burst.keys[0];
        burst.router.set_limit(limited, Some(LIMIT), START);
        let demand = demand(true, UNIQUE_TOKENS);
        burst.run(&demand, START + Millis(offset), Millis(8000))
    });
    let mut both: Vec<Millis> = runs.into_iter().flatten().flatten().collect();
    both.sort_unstable();
    let count = max_in_four_seconds(&both);
    assert!(count <= MAX_IN_FOUR_SECONDS, "{count} in four seconds");
}

/// Guards against a server that never gets a request, and so can't say that it recovered.
#[test]
fn a_server_that_accepts_nothing_gets_a_request_now_and_then() {
    let mut burst = Burst::new(1, 0);
    let limited = burst.keys[0];
    burst.router.set_limit(limited, Some(0.0), START);
    let sent = burst.run(&demand(true, UNIQUE_TOKENS), START, Millis(20_000));
    let count = max_in_four_seconds(&sent[0]);
    assert!((1..=5).contains(&count), "{count} in four seconds");
}

/// Guards against a refusal without a retry time, and against a limit by which a cold server gets
/// more than it bears.
#[test_case(Some(2.0), Reason::Limited, Millis(667); "its limit")]
#[test_case(None, Reason::Cold, Millis(3000); "its cold phase")]
fn requests_beyond_a_pace_are_refused_with_a_retry_time(
    limit: Option<f64>,
    reason: Reason,
    retry_after: Millis,
) {
    let mut burst = Burst::new(0, 1);
    let server = burst.keys[0];
    burst.router.set_limit(server, limit, START);
    let refused = burst.router.pick(&demand(false, UNIQUE_TOKENS), START);
    let refused = refused.map(|pick| pick.server);
    assert_eq!(
        refused,
        Err(NoServer {
            reason,
            retry_after
        })
    );
}

/// Guards against applying the limit of a process that has ended to its successor.
#[test]
fn a_restarted_server_has_no_limit() {
    let mut burst = Burst::new(1, 0);
    let server = burst.keys[0];
    burst.router.set_limit(server, Some(LIMIT), START);
    burst.router.server_restarted(server);
    assert!(!burst.router.has_paced(START));
}
