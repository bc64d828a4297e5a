//! Tests of servers of unlike speed that share their machines with others.
//!
//! The model: an engine prefills one prompt after the other, its usual speed is one of three, and in
//! one of eight spans of 600 ms all work there takes 2.5 times as long. Each answer's head reports
//! how long work takes at that moment.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests, where the lint looks for test functions only"
)]

#[path = "common/shared_machines.rs"]
mod shared_machines;

use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::Demand;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Router;
use crocushold_routing::Settings;
use crocushold_routing::State;
use crocushold_routing::UsualPace;
use slotmap::SlotMap;
use test_case::test_case;

/// Tokens that an engine of the usual speed prefills per millisecond.
const RATE: f64 = 50.0;

/// Tokens of long prompts, and of every fourth one.
const LONG: u32 = 2900;
const SHORT: u32 = 540;

/// Time of an answer from its first token to its end.
const ANSWER: u64 = 300;

/// Time of the network and of the steps of the first event, after which an answer begins.
const LATENCY: u64 = 60;

/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 33;

/// How an engine reports how long work takes there, in percent, if it takes `actual`.
type Report = fn(actual: f64) -> Option<u16>;

fn honest(actual: f64) -> Option<u16> {
    Some(actual as u16)
}

fn silent(_: f64) -> Option<u16> {
    None
}

#[derive(Clone, Copy)]
struct Spec {
    /// How long work usually takes, in percent.
    usual: f64,
    /// Whether its machine is shared.
    noisy: bool,
    report: Report,
}

const EQUAL: Spec = Spec {
    usual: 100.0,
    noisy: false,
    report: silent,
};

struct Job {
    attempt: AttemptKey,
    sent: u64,
    /// Expected wait.
    wait: f64,
    /// When its prefill began.
    started: Option<u64>,
    tokens_left: f64,
}

struct Engine {
    key: ServerKey,
    spec: Spec,
    queue: VecDeque<Job>,
    /// Prefilled prompts with the times at which their first tokens are met, and the reports.
    begun: VecDeque<(u64, Job, LoadReport)>,
    /// Answers with the times of their ends.
    answers: VecDeque<(u64, AttemptKey)>,
    prompts: usize,
}

impl Engine {
    /// How long work takes now, in percent.
    fn actual(&self, at: usize, now: u64) -> f64 {
        let shared = self.spec.noisy && shared_machines::is_shared(at, now);
        self.spec.usual * if shared { 2.5 } else { 1.0 }
    }
}

struct Model {
    router: Router,
    model: ModelKey,
    engines: Vec<Engine>,
    now: u64,
    /// The expected and the met wait of each answer that has begun.
    waits: Vec<(f64, f64)>,
    /// Its time to the first token.
    times: Vec<f64>,
    number: u64,
    picks: Vec<usize>,
    central: bool,
}

impl Model {
    fn new(specs: &[Spec]) -> Model {
        let mut models: SlotMap<ModelKey, ()> = SlotMap::with_key();
        let model = models.insert(());
        let (router, keys) =
            shared_machines::router(Settings::default(), specs.len(), 96, &[model]);
        let engines = keys.into_iter().zip(specs).map(|(key, &spec)| Engine {
            key,
            spec,
            queue: VecDeque::new(),
            begun: VecDeque::new(),
            answers: VecDeque::new(),
            prompts: 0,
        });
        let engines: Vec<Engine> = engines.collect();
        Model {
            router,
            model,
            engines,
            now: shared_machines::START,
            waits: Vec::new(),
            times: Vec::new(),
            number: 0,
            picks: Vec::new(),
            central: true,
        }
    }

    /// Runs `seconds` with `rate` prompts per second.
    fn run(&mut self, rate: u64, seconds: u64) {
        let end = self.now + seconds * 1000;
        while self.now < end {
            let due = (self.now + 1) * rate / 1000 - self.now * rate / 1000;
            for _ in 0..due {
                self.arrive();
            }
            for at in 0..self.engines.len() {
                self.step(at);
            }
            self.now += 1;
            self.router.tick(Millis(self.now));
        }
    }

    /// The demand of a long prompt.
    fn demand(&self) -> Demand<'static> {
        Demand {
            model: Some(self.model),
            priority: 1,
            idempotent: true,
            tokens: 3000,
            unique_tokens: LONG,
            central: self.central,
            ..Demand::default()
        }
    }

    fn arrive(&mut self) {
        self.number += 1;
        let is_short = self.number.is_multiple_of(4);
        let demand = Demand {
            unique_tokens: if is_short { SHORT } else { LONG },
            ..self.demand()
        };
        let tokens = f64::from(demand.unique_tokens);
        let pick = self.router.pick(&demand, Millis(self.now)).unwrap();
        let at = self.engines.iter().position(|e| e.key == pick.server);
        let at = at.unwrap();
        self.picks.push(at);
        let engine = &mut self.engines[at];
        engine.prompts += 1;
        engine.queue.push_back(Job {
            attempt: pick.attempt,
            sent: self.now,
            wait: pick.wait.0 as f64,
            started: None,
            tokens_left: tokens,
        });
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let engine = &mut self.engines[at];
        let actual = engine.actual(at, now);
        if let Some(job) = engine.queue.front_mut() {
            job.started.get_or_insert(now);
            job.tokens_left -= RATE * 100.0 / actual;
            if job.tokens_left <= 0.0 {
                let job = engine.queue.pop_front().unwrap();
                let load = LoadReport {
                    running: engine.answers.len() as u32,
                    waiting: 0,
                    work_percent: (engine.spec.report)(actual),
                    ..LoadReport::default()
                };
                let latency = LATENCY as f64 * actual / 100.0;
                engine.begun.push_back((now + latency as u64, job, load));
            }
        }
        while let Some((_, job, load)) = engine.begun.pop_front_if(|(at, ..)| *at <= now) {
            self.router.load_report(engine.key, load, Millis(now));
            self.router.first_byte(job.attempt, Millis(now));
            let met = job.started.unwrap() - job.sent;
            self.waits.push((job.wait, met as f64));
            self.times.push((now - job.sent) as f64);
            let span = ANSWER as f64 * actual / 100.0;
            engine.answers.push_back((now + span as u64, job.attempt));
        }
        while let Some(&(end, attempt)) = engine.answers.front() {
            if end > now {
                break;
            }
            engine.answers.pop_front();
            let now = Millis(now);
            let complete = Outcome::Complete;
            self.router.done(attempt, complete, ANSWER_TOKENS, now);
        }
    }

    fn prompts(&self, engines: impl Fn(&Spec) -> bool) -> usize {
        let engines = self.engines.iter().filter(|engine| engines(&engine.spec));
        engines.map(|engine| engine.prompts).sum()
    }

    fn is_serving(&self, at: usize) -> bool {
        let standing = self.router.standing(self.engines[at].key).unwrap();
        standing.state == State::Serving
    }

    fn mean_time(&self) -> f64 {
        self.times.iter().sum::<f64>() / self.times.len() as f64
    }

    fn correlation(&self) -> f64 {
        let ranks = |values: Vec<f64>| -> Vec<f64> {
            let mut sorted = values.clone();
            sorted.sort_unstable_by(f64::total_cmp);
            let rank = |value: &f64| {
                let below = sorted.partition_point(|other| other < value);
                let upto = sorted.partition_point(|other| other <= value);
                (below + upto) as f64 / 2.0
            };
            values.iter().map(rank).collect()
        };
        let expected = ranks(self.waits.iter().map(|(expected, _)| *expected).collect());
        let met = ranks(self.waits.iter().map(|(_, met)| *met).collect());
        let mean = expected.len() as f64 / 2.0;
        let product = |a: &[f64], b: &[f64]| -> f64 {
            let pairs = a.iter().zip(b);
            pairs.map(|(a, b)| (a - mean) * (b - mean)).sum()
        };
        product(&expected, &met) / (product(&expected, &expected) * product(&met, &met)).sqrt()
    }
}

/// Three engines of each of three speeds, on shared machines.
fn uneven(report: Report) -> Vec<Spec> {
    let usual = [60.0, 100.0, 160.0].into_iter().cycle().take(9);
    let spec = |usual| Spec {
        usual,
        noisy: true,
        report,
    };
    usual.map(spec).collect()
}

/// For three seconds nearly as many prompts arrive as nine engines can prefill, and more before and
/// after than three of them can. The expected wait decides where a prompt goes and whether it is
/// refused. It must order the prompts as they are answered, and the answers must begin sooner than
/// without reports.
#[test]
fn the_expected_wait_is_met_in_a_rush() {
    let play = |report: Report| {
        let mut model = Model::new(&uneven(report));
        model.run(90, 10);
        model.waits.clear();
        model.times.clear();
        model.run(200, 3);
        model.run(140, 5);
        (model.correlation(), model.mean_time())
    };
    let (before, after) = (play(silent), play(honest));
    println!("correlation and mean time without reports {before:?}, with them {after:?}");
    assert!(after.0 >= 0.8, "{before:?} {after:?}");
    assert!(after.1 < before.1 * 0.95, "{before:?} {after:?}");
}

/// A fast engine takes more prompts than a slow one.
#[test]
fn a_fast_engine_gets_more_prompts() {
    let mut model = Model::new(&uneven(honest));
    model.run(180, 10);
    let of = |usual: f64| model.prompts(|spec| spec.usual == usual);
    let (fast, usual, slow) = (of(60.0), of(100.0), of(160.0));
    assert!(fast * 4 > usual * 5, "{fast} {usual} {slow}");
    assert!(usual > slow && slow > 0, "{fast} {usual} {slow}");
}

/// A prompt that finds all engines idle goes where it is prefilled first, also if that engine is the
/// only one.
#[test]
fn a_prompt_goes_where_it_is_prefilled_first() {
    let mut specs = uneven(honest);
    specs.iter_mut().for_each(|spec| spec.noisy = false);
    let mut model = Model::new(&specs);
    model.run(60, 10);
    model.picks.clear();
    model.run(10, 5);
    let fast = model.picks.iter().filter(|&&at| specs[at].usual == 60.0);
    assert_eq!(fast.count(), model.picks.len());
}

/// Engines that don't differ are chosen as before they could report a pace. The picks of a
/// fixed sequence are compared with those of the version before, by a hash, and reports that all is
/// as usual change none of them.
#[test_case(true, BEFORE_CENTRAL; "one router for all")]
#[test_case(false, BEFORE_ALONE; "a router that samples")]
fn equal_engines_are_chosen_as_before(central: bool, before: u64) {
    let play = |report| {
        let mut model = Model::new(&[Spec { report, ..EQUAL }; 9]);
        model.central = central;
        model.run(120, 10);
        model.run(170, 3);
        model.run(60, 5);
        model.picks
    };
    let picks = play(silent);
    let hash = picks.iter().fold(0_u64, |hash, &at| {
        hash.wrapping_mul(0x0100_0000_01b3) ^ at as u64
    });
    assert_eq!(hash, before);
    assert_eq!(play(honest), picks);
}

/// Hashes of the picks of a router that knows no reported pace.
const BEFORE_CENTRAL: u64 = 10_130_882_858_731_905_877;
const BEFORE_ALONE: u64 = 11_179_672_241_068_563_208;

/// An engine becomes slow for a moment: it gets fewer prompts while its reports say so, and as many
/// as the others soon after its last report, although no further one says that it has recovered.
#[test]
fn an_engine_that_was_slow_for_a_moment_recovers() {
    let mut model = Model::new(
        &[Spec {
            report: honest,
            ..EQUAL
        }; 4],
    );
    model.run(40, 5);
    let slow = LoadReport {
        work_percent: Some(250),
        ..LoadReport::default()
    };
    let (key, at) = (model.engines[0].key, Millis(model.now));
    model.router.load_report(key, slow, at);
    let is_among = |count: usize, router: &mut Router, demand: &Demand<'_>, now| {
        let pick = |_| router.pick(demand, now).unwrap();
        let picks: Vec<_> = (0..count).map(pick).collect();
        for pick in &picks {
            router.done(pick.attempt, Outcome::Cancelled, 0, now);
        }
        picks.iter().any(|pick| pick.server == key)
    };
    model.run(0, 1);
    let demand = model.demand();
    model.router.load_report(key, slow, Millis(model.now));
    let now = Millis(model.now);
    assert!(!is_among(3, &mut model.router, &demand, now));
    assert!(is_among(4, &mut model.router, &demand, now + Millis(700)));
}

/// One of nine equal engines reports an absurd pace throughout. It isn't ejected, takes a part of
/// the work, and the others are as fast as without it.
#[test_case(|_| Some(25); "always four times as fast")]
#[test_case(|_| Some(1); "always a hundred times as fast")]
#[test_case(|_| Some(300); "always three times as slow")]
#[test_case(|_| Some(u16::MAX); "always as slow as can be said")]
fn a_report_that_lies_does_little(report: Report) {
    let mut specs = [Spec {
        report: honest,
        ..EQUAL
    }; 9];
    specs[0].report = report;
    let mut model = Model::new(&specs);
    model.run(110, 20);
    let fair = model.mean_time();
    println!(
        "{} of {}, {fair}",
        model.engines[0].prompts,
        model.picks.len()
    );
    assert!((0..9).all(|at| model.is_serving(at)));
    assert!(model.engines[0].prompts * 9 <= model.picks.len() * 3);
    let honest_model = {
        let mut model = Model::new(
            &[Spec {
                report: honest,
                ..EQUAL
            }; 9],
        );
        model.run(110, 20);
        model
    };
    assert!(fair <= honest_model.mean_time() * 1.5);
}

/// All machines are shared at once. Nobody is ejected, and prompts are spread as before.
#[test]
fn all_engines_slow_together_are_kept() {
    let mut model = Model::new(
        &[Spec {
            report: honest,
            ..EQUAL
        }; 9],
    );
    model.run(60, 5);
    for engine in &mut model.engines {
        engine.spec.usual = 250.0;
        engine.prompts = 0;
    }
    model.run(50, 5);
    assert!((0..9).all(|at| model.is_serving(at)));
    let prompts: Vec<usize> = model.engines.iter().map(|engine| engine.prompts).collect();
    assert!(
        prompts.iter().all(|&count| (20..=36).contains(&count)),
        "{prompts:?}"
    );
}

/// Guards against a router that trusts what another instance tells more than its own reports, or takes it for what is
/// so at this moment.
#[test]
fn a_pace_that_another_instance_tells_is_used_until_there_are_reports() {
    let mut model = Model::new(&[EQUAL; 2]);
    let servers = [0, 1].map(|at| model.engines[at].key);
    let router = &mut model.router;
    let told = UsualPace {
        percent: 160,
        reports: 40,
    };
    let now = Millis(1000);
    router.adopt_pace(servers[0], told, now);
    assert_eq!(router.usual_pace(servers[0]), Some(told));
    assert_eq!(router.usual_pace(servers[1]), None);
    assert!(router.is_uneven());
    let [usual, at_present] = router.reported_pace(servers[0], now).unwrap();
    assert!((1.5..1.6).contains(&usual), "{usual}");
    assert_eq!(usual, at_present);
    let fewer = UsualPace {
        percent: 60,
        reports: 40,
    };
    router.adopt_pace(servers[0], fewer, now);
    assert_eq!(router.usual_pace(servers[0]), Some(told));
}
