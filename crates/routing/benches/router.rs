//! Cost of the router's operations, depending on the number of servers: `cargo bench -p
//! crocushold-routing`.

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::ListSnapshot;
use crocushold_routing::Listed;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Presence;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use crocushold_routing::subset;
use divan::AllocProfiler;
use divan::Bencher;
use slotmap::SlotMap;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

const SERVERS: [usize; 4] = [20, 118, 1000, 5900];
const MODELS: usize = 39;
const MODELS_PER_SERVER: usize = 2;
const SLOTS: u32 = 64;

fn main() {
    divan::main();
}

struct Fleet {
    router: Router,
    models: Vec<ModelKey>,
    specs: Vec<ServerSpec>,
    now: Millis,
    turn: u64,
}

impl Fleet {
    /// Creates a fleet with the fraction `filled` of its slots taken.
    fn new(servers: usize, filled: f64) -> Fleet {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let mut arena: SlotMap<ModelKey, ()> = SlotMap::with_key();
        let models: Vec<ModelKey> = (0..MODELS).map(|_| arena.insert(())).collect();
        let model_indices =
            |at: usize| (0..MODELS_PER_SERVER).map(move |n| (at * 7 + n * 5) % MODELS);
        let specs: Vec<ServerSpec> = (0..servers)
            .map(|at| ServerSpec {
                key: keys.insert(()),
                id: at as u64 * 1_000_003,
                zone: format!("z{}", at % 23),
                region: None,
                software: None,
                concurrency: SLOTS,
                models: model_indices(at).map(|model| models[model]).collect(),
            })
            .collect();
        let mut fleet = Fleet {
            router: Router::new(Settings::default(), "z1", 3),
            models,
            specs,
            now: Millis(1000),
            turn: 0,
        };
        fleet.router.configure(&fleet.specs, fleet.now);
        fleet.fill((servers as f64 * f64::from(SLOTS) * filled) as usize);
        fleet
    }

    fn fill(&mut self, attempts: usize) {
        for spec in &self.specs {
            let report = LoadReport {
                running: 30,
                ..LoadReport::default()
            };
            self.router.load_report(spec.key, report, self.now);
        }
        for _ in 0..attempts {
            let demand = self.demand();
            let _ = self.router.pick(&demand, self.now);
        }
    }

    /// Lets each server report one of three paces.
    fn report_paces(&mut self) {
        for (spec, percent) in self.specs.iter().zip([60, 100, 160].into_iter().cycle()) {
            let report = LoadReport {
                running: 30,
                work_percent: Some(percent),
                ..LoadReport::default()
            };
            self.router.load_report(spec.key, report, self.now);
        }
    }

    fn demand(&mut self) -> Demand<'static> {
        self.turn += 1;
        let model = self.models[self.turn as usize % MODELS];
        Demand {
            model: Some(model),
            prefix: Some(self.turn % 10_000),
            priority: 1,
            idempotent: true,
            tokens: 500,
            exclude: &[],
            ..Demand::default()
        }
    }

    fn cycle(&mut self, outcome: Outcome) {
        let demand = self.demand();
        self.serve(&demand, outcome);
    }

    fn serve(&mut self, demand: &Demand<'_>, outcome: Outcome) {
        if let Ok(pick) = self.router.pick(demand, self.now) {
            self.router.first_byte(pick.attempt, self.now);
            self.router.done(pick.attempt, outcome, 100, self.now);
        }
    }
}

/// A pick, its first byte and its end.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn pick_and_done(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.7);
    bencher.bench_local(|| fleet.cycle(Outcome::Complete));
}

/// The same, chosen by expected time to first token with known prompt lengths.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn pick_soonest_and_done(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.3);
    bencher.bench_local(|| {
        let demand = Demand {
            unique_tokens: 2900,
            prefix_tokens: 6300,
            ..fleet.demand()
        };
        fleet.serve(&demand, Outcome::Complete);
    });
}

/// The same, on servers that report unlike speeds.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn pick_soonest_of_uneven_and_done(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.3);
    fleet.report_paces();
    bencher.bench_local(|| {
        let demand = Demand {
            unique_tokens: 2900,
            prefix_tokens: 6300,
            ..fleet.demand()
        };
        fleet.serve(&demand, Outcome::Complete);
    });
}

/// The same, by one router that chooses for all instances and compares all servers.
#[divan::bench(args = SERVERS, sample_size = 100)]
fn pick_centrally_and_done(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.3);
    bencher.bench_local(|| {
        let demand = Demand {
            unique_tokens: 2900,
            prefix_tokens: 6300,
            central: true,
            ..fleet.demand()
        };
        fleet.serve(&demand, Outcome::Complete);
    });
}

/// The same, on a fleet with nearly every slot taken.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn pick_and_done_when_full(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.99);
    bencher.bench_local(|| fleet.cycle(Outcome::Complete));
}

/// The same, but every attempt fails.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn pick_and_fail(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.7);
    bencher.bench_local(|| {
        fleet.now += Millis(1);
        fleet.cycle(Outcome::Cut);
    });
}

/// A refusal while no slot is free.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn refuse(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 3.0);
    bencher.bench_local(|| {
        let demand = fleet.demand();
        fleet.router.pick(&demand, fleet.now).is_err()
    });
}

/// A load report of one server.
#[divan::bench(args = SERVERS, sample_size = 1000)]
fn load_report(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.7);
    bencher.bench_local(|| {
        fleet.turn += 1;
        let key = fleet.specs[fleet.turn as usize % servers].key;
        let report = LoadReport::default();
        fleet.router.load_report(key, report, fleet.now);
    });
}

/// A read of the whole instance list, which happens about once a second.
#[divan::bench(args = SERVERS)]
fn instance_list(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.7);
    let listed = |spec: &ServerSpec| Listed {
        server: spec.key,
        presence: Presence::Live,
    };
    let list = ListSnapshot {
        revision: 1,
        servers: fleet.specs.iter().map(listed).collect(),
    };
    bencher.bench_local(|| fleet.router.instance_list(&list, fleet.now));
}

/// A configuration of all servers, which happens when the set changes.
#[divan::bench(args = SERVERS)]
fn configure(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = Fleet::new(servers, 0.7);
    bencher.bench_local(|| fleet.router.configure(&fleet.specs, fleet.now));
}

/// The construction of a router. Its peak memory is slightly more than what a router holds.
#[divan::bench(args = SERVERS)]
fn build(bencher: Bencher<'_, '_>, servers: usize) {
    let fleet = Fleet::new(servers, 0.0);
    bencher.bench_local(|| {
        let mut router = Router::new(Settings::default(), "z1", 3);
        router.configure(&fleet.specs, fleet.now);
        router
    });
}

/// The subset of one of 400 instances.
#[divan::bench(args = SERVERS)]
fn subset_of_400(bencher: Bencher<'_, '_>, servers: usize) {
    let ids: Vec<u64> = (0..servers as u64).collect();
    let instances: Vec<u64> = (0..400).map(|at| at * 77_777).collect();
    bencher.bench_local(|| subset(&ids, &instances, instances[7], 118));
}
