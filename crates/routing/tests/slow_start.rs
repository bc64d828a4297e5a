//! Servers that come up cold in a rush.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Placement;
use crocushold_routing::Reason;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;
use test_case::test_case;

const START: Millis = Millis(10_000);

/// Requests a second that a cold server bears.
const RATE: f64 = 10.0;

/// What it bears at most in one second: half as many again, and five.
const MOST: usize = 20;

const COLD_UNTIL: Millis = Millis(13_000);

/// Between two requests of a rush.
const STEP: Millis = Millis(2);

const OWN: u32 = 500;

struct Rush {
    router: Router,
    keys: Vec<ServerKey>,
}

impl Rush {
    /// `warm` servers, and `cold` ones.
    fn new(warm: usize, cold: usize) -> Rush {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let specs = (0..warm + cold).map(|number| ServerSpec {
            key: keys.insert(()),
            id: number as u64,
            zone: "here".to_owned(),
            region: None,
            concurrency: 64,
            models: Vec::new(),
        });
        let specs: Vec<ServerSpec> = specs.collect();
        let mut router = Router::new(Settings::default(), "here", 7);
        router.configure(&specs, START);
        router.set_cold_rate(Some(RATE));
        let keys: Vec<ServerKey> = specs.iter().map(|spec| spec.key).collect();
        for key in &keys[warm..] {
            router.set_cold(*key, COLD_UNTIL);
        }
        Rush { router, keys }
    }

    /// Sends what can be sent for `span`, each request for 100 ms; returns when each server got one.
    fn run(&mut self, demand: &Demand<'_>, from: Millis, span: Millis) -> Vec<Vec<Millis>> {
        let mut got = vec![Vec::new(); self.keys.len()];
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
                got[place.expect("it is configured")].push(now);
                running.push((pick.attempt, now + Millis(100)));
            }
            now += STEP;
        }
        got
    }
}

fn demand(allow_cold: bool, unique_tokens: u32) -> Demand<'static> {
    Demand {
        unique_tokens,
        tokens: OWN,
        central: allow_cold,
        allow_cold,
        ..Demand::default()
    }
}

/// The most requests of any second.
fn most(times: &[Millis]) -> usize {
    let second = |start: &Millis| {
        let within = times.iter().filter(|at| **at >= *start);
        within.filter(|at| at.since(*start) < Millis(1000)).count()
    };
    times.iter().map(second).max().unwrap_or(0)
}

/// Guards against flooding a server that looks idle since it has just come up.
#[test_case(OWN; "an engine")]
#[test_case(0; "a plain server")]
fn a_cold_server_is_sent_requests_at_a_pace(own: u32) {
    let mut rush = Rush::new(1, 2);
    let got = rush.run(&demand(true, own), START, Millis(3000));
    for cold in &got[1..] {
        let count = most(cold);
        assert!(count <= RATE as usize, "{count} in a second");
        assert!(count > RATE as usize / 2, "{count}: it should be used");
    }
    let got = rush.run(&demand(true, own), COLD_UNTIL, Millis(1000));
    assert!(most(&got[1]) > MOST, "it is warm");
}

/// Guards against instances that each send a little to the same cold server.
#[test_case(OWN; "an engine")]
#[test_case(0; "a plain server")]
fn instances_that_choose_by_themselves_pass_cold_servers_over(own: u32) {
    let mut rush = Rush::new(1, 30);
    let got = rush.run(&demand(false, own), START, Millis(1000));
    assert!(got[0].len() > 100, "{}", got[0].len());
    assert!(got[1..].iter().all(Vec::is_empty));
}

/// Guards against two instances that place at a time and together send more than a cold server bears.
#[test]
fn two_that_place_at_a_time_stay_below_what_a_cold_server_bears() {
    let runs = [0, 1].map(|offset| {
        let mut rush = Rush::new(0, 1);
        rush.run(&demand(true, OWN), START + Millis(offset), Millis(2000))
    });
    let mut both: Vec<Millis> = runs.into_iter().flatten().flatten().collect();
    both.sort_unstable();
    let count = most(&both);
    assert!(count <= MOST, "{count} in a second");
}

/// Guards against a refusal that names no time, or one at which all servers are cold still.
#[test]
fn with_cold_servers_alone_a_request_comes_back_when_one_is_warm() {
    let mut rush = Rush::new(0, 2);
    let refused = rush.router.pick(&demand(false, OWN), START);
    let cold = NoServer {
        reason: Reason::Cold,
        retry_after: COLD_UNTIL.since(START),
    };
    assert_eq!(refused.map(|pick| pick.server), Err(cold));
}

/// Guards against dropping what the instance that spends the rate has granted.
#[test]
fn a_cold_server_takes_what_was_placed_there() {
    let mut rush = Rush::new(1, 1);
    let placed = Placement {
        server: rush.keys[1],
        source: None,
        wait: Millis::ZERO,
        prefill_tokens: OWN,
    };
    let pick = rush.router.adopt(&placed, &demand(false, OWN), START);
    assert_eq!(pick.map(|pick| pick.server), Some(rush.keys[1]));
}
