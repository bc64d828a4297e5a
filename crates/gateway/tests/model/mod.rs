//! A simulation of instances and engines. Engines prefill one prompt after the other, the most
//! urgent first, and cache what they have prefilled. The instances choose engines by themselves, or
//! ask the first instance.

#[path = "../common/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Choice;
use crocushold_gateway::EngineSpec;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::LineTerms;
use crocushold_gateway::LoadSum;
use crocushold_gateway::Need;
use crocushold_gateway::Placement;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::PlacementVerdict;
use crocushold_gateway::Placer;
use crocushold_gateway::RequestEnd;
use crocushold_gateway::RequestUpdate;
use crocushold_gateway::ServerRecord;
use crocushold_gateway::UpdateKind;
use crocushold_routing::EngineCapacity;
use crocushold_routing::Outcome;

use engines::engine;

/// Default numbers of instances and engines.
const INSTANCES: usize = 4;
const ENGINES: usize = 12;
/// Prefill rate of an engine, in tokens per millisecond.
pub(crate) const SPEED: u64 = 50;
/// Prompt tokens that an engine fetches from another one per millisecond.
pub(crate) const TRANSFER: u64 = 210;
/// Interval of events of a stream beside prompts that are being prefilled, in milliseconds: an
/// event holds four tokens, and a chunk of a prompt is prefilled between two tokens.
const EVENT_GAP_DURING_PREFILL: u64 = 132;

/// A class of requests.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Requests per second over all instances.
    pub(crate) rate: u64,
    pub(crate) shared: u32,
    pub(crate) own: u32,
    pub(crate) rank: u8,
    /// Number of shared prompts.
    pub(crate) prompts: u64,
    pub(crate) target: u64,
    /// Longest pause between events that a stream tolerates.
    pub(crate) pause: u64,
    /// Whether its streams may have separate engines.
    pub(crate) live: bool,
    /// Time from the first token of an answer to its end, in milliseconds.
    pub(crate) duration_ms: u64,
    pub(crate) limit: Option<Millis>,
    /// The client accounts that send it, in turn: the first one, and their number.
    pub(crate) accounts: [u32; 2],
}

pub(crate) const LIVE: Load = Load {
    rate: 20,
    shared: 170,
    own: 540,
    rank: 0,
    prompts: 100,
    target: 250,
    pause: 120,
    live: false,
    duration_ms: 300,
    limit: None,
    accounts: [0, 1],
};

pub(crate) const BATCH: Load = Load {
    rate: 40,
    shared: 6300,
    own: 2900,
    rank: 2,
    prompts: 120,
    target: 1200,
    pause: 500,
    live: false,
    duration_ms: 300,
    limit: Some(Millis(960)),
    accounts: [1, 1],
};

/// Results of a class, in numbers of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassStats {
    pub(crate) asked: u64,
    pub(crate) on_time: u64,
    pub(crate) refused: u64,
    pub(crate) repeated_prefills: u64,
    /// The longest time to the first byte, in milliseconds.
    pub(crate) longest_first_byte: u64,
}

impl ClassStats {
    pub(crate) fn percent(&self, part: u64) -> u64 {
        100 * part / self.asked.max(1)
    }
}

/// Result of choosing an engine.
enum Chosen {
    Server(Box<Choice>),
    Waiting(Box<PlacementRequest>),
    Refused,
}

struct Job {
    class: usize,
    instance: usize,
    choice: Choice,
    /// Number by which the placer knows it.
    number: u32,
    sent: u64,
    prompt: u32,
    rank: u8,
}

/// A request in the placer's line.
struct Waiting {
    class: usize,
    instance: usize,
    ask: PlacementRequest,
    prompt: u32,
    sent: u64,
}

#[derive(Default)]
struct Engine {
    /// By rank, then by arrival.
    queue: BTreeMap<(u8, u64), Job>,
    /// The job whose prompt is being prefilled, with the time at which that ends.
    prefill: Option<(u64, Job)>,
    kept: HashSet<u32>,
    answers: Vec<Answer>,
}

/// An answer that has begun.
struct Answer {
    job: Job,
    ends: u64,
    on_time: bool,
    longest: u64,
}

pub(crate) struct Simulation {
    pub(crate) fleets: Vec<Fleet>,
    engines: BTreeMap<String, Engine>,
    pub(crate) seen: HashSet<u32>,
    stats: Vec<ClassStats>,
    number: u64,
    /// Whether the instances exchange their loads.
    pub(crate) gossip: bool,
    /// Whether engines fetch prompts from each other.
    pub(crate) transfers: bool,
    /// Whether prompts that wait behind the one being prefilled extend the pauses of streams.
    pub(crate) queue_pauses: bool,
    /// The placer of the first instance, if the others ask it.
    placer: Option<Placer>,
    /// Whether requests with a limit wait in the placer's line.
    has_line: bool,
    waiting: BTreeMap<u32, Waiting>,
}

impl Simulation {
    pub(crate) fn new(gossip: bool) -> Simulation {
        Simulation::sized(gossip, INSTANCES, ENGINES)
    }

    pub(crate) fn sized(gossip: bool, instances: usize, engines: usize) -> Simulation {
        let fleets = (0..instances).map(|seed| {
            let mut fleet = Fleet::new(FleetSettings {
                seed: seed as u64,
                ..FleetSettings::default()
            });
            for engine in 0..engines {
                fleet.list(&record(engine), Millis::ZERO);
            }
            fleet
        });
        let engines = (0..engines).map(|engine| (record(engine).id, Engine::default()));
        Simulation {
            fleets: fleets.collect(),
            engines: engines.collect(),
            seen: HashSet::new(),
            stats: vec![ClassStats::default(); 2],
            number: 0,
            gossip,
            transfers: false,
            queue_pauses: false,
            placer: None,
            has_line: false,
            waiting: BTreeMap::new(),
        }
    }

    fn arrive(&mut self, class: usize, load: &Load, now: u64) {
        self.number += 1;
        // A fixed sequence that mixes prompts and instances.
        let draw = self.number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        let prompt = ((class as u32) << 16) | (draw % load.prompts) as u32;
        let instance = (draw / 997) as usize % self.fleets.len();
        let need = Need {
            service: "svc".to_owned(),
            model: Some("m".to_owned()),
            prefix: Some(prompt),
            priority: load.rank,
            prompt_tokens: load.shared + load.own,
            unique_tokens: load.own,
            max_output_tokens: 50,
            wait_limit: load.limit,
            expected_output_tokens: 50,
            max_pause: Some(Millis(load.pause)).filter(|_| load.live),
            ..Need::default()
        };
        self.stats[class].asked += 1;
        let [first, count] = load.accounts;
        let terms = need.wait_limit.filter(|_| self.has_line);
        let terms = terms.map(|limit| LineTerms {
            account: first + self.number as u32 % count,
            limit,
            request: self.number as u32 + 1,
        });
        let choice = match self.choose(instance, &need, terms, Millis(now)) {
            Chosen::Server(choice) => *choice,
            Chosen::Waiting(ask) => {
                let waiting = Waiting {
                    class,
                    instance,
                    ask: *ask,
                    prompt,
                    sent: now,
                };
                self.waiting.insert(self.number as u32, waiting);
                return;
            }
            Chosen::Refused => {
                self.stats[class].refused += 1;
                return;
            }
        };
        self.enqueue(Job {
            class,
            instance,
            choice,
            number: self.number as u32,
            sent: now,
            prompt,
            rank: load.rank,
        });
    }

    /// Adds a job to the queue of its engine.
    fn enqueue(&mut self, job: Job) {
        let engine = self.engines.get_mut(&*job.choice.id);
        let engine = engine.expect("only listed engines are chosen");
        let key = (job.rank, u64::from(job.number));
        engine.queue.insert(key, job);
    }

    /// Chooses an engine for a request of an instance. In its own line the placer asks itself.
    fn choose(
        &mut self,
        instance: usize,
        need: &Need,
        line: Option<LineTerms>,
        now: Millis,
    ) -> Chosen {
        let asks = instance > 0 || line.is_some();
        let Some(placer) = self.placer.as_mut().filter(|_| asks) else {
            let picked = self.fleets[instance].pick(need, &[], now);
            return picked.map_or(Chosen::Refused, |choice| Chosen::Server(Box::new(choice)));
        };
        let ask = PlacementRequest {
            number: self.number as u32,
            zone: String::new(),
            remaining: Millis::from_secs(30),
            tried: Vec::new(),
            need: need.clone(),
            resting: Vec::new(),
            line,
        };
        let from = peer_of(instance);
        let reply = placer.place(&mut self.fleets[0], from, &ask, now);
        match reply.verdict {
            PlacementVerdict::Placed(place) => {
                Chosen::Server(Box::new(self.adopt(instance, &ask, &place, now)))
            }
            PlacementVerdict::Waiting => Chosen::Waiting(Box::new(ask)),
            _ => Chosen::Refused,
        }
    }

    /// Takes over the placer's choice.
    fn adopt(
        &mut self,
        instance: usize,
        ask: &PlacementRequest,
        place: &Placement,
        now: Millis,
    ) -> Choice {
        let adopted = if instance == 0 {
            let placer = self.placer.as_mut();
            placer.and_then(|placer| placer.take_own(peer_of(0), ask.number))
        } else {
            self.fleets[instance].adopt(&ask.need, place, &[], now)
        };
        adopted.expect("all instances list the same engines")
    }

    /// Serves the line, asks again for what waits in it, and sends what got an engine.
    fn serve_line(&mut self, now: u64) {
        let at = Millis(now);
        let Some(placer) = &mut self.placer else {
            return;
        };
        if now.is_multiple_of(10) {
            placer.serve_line(&mut self.fleets[0], at);
        }
        let mut replies = Vec::new();
        if now.is_multiple_of(50) {
            for waiting in self.waiting.values() {
                let from = peer_of(waiting.instance);
                replies.push(placer.place(&mut self.fleets[0], from, &waiting.ask, at));
            }
        }
        replies.extend(placer.take_replies().into_iter().map(|(_, reply)| reply));
        for reply in replies {
            // A reply to a question may cross with the decision.
            if reply.verdict == PlacementVerdict::Waiting {
                continue;
            }
            let Some(waiting) = self.waiting.remove(&reply.number) else {
                continue;
            };
            let PlacementVerdict::Placed(place) = reply.verdict else {
                self.stats[waiting.class].refused += 1;
                continue;
            };
            let Waiting {
                class,
                instance,
                ask,
                prompt,
                sent,
            } = waiting;
            let choice = self.adopt(instance, &ask, &place, at);
            self.enqueue(Job {
                class,
                instance,
                choice,
                number: ask.number,
                sent,
                prompt,
                rank: ask.need.priority,
            });
        }
    }

    fn step(&mut self, loads: &[Load; 2], now: u64) {
        // Prompts that engines can transfer to others before this step.
        let available: HashSet<(SocketAddr, u32)> = if self.transfers {
            let kept = self.engines.iter().flat_map(|(id, engine)| {
                let from = address_of(id);
                engine.kept.iter().map(move |prompt| (from, *prompt))
            });
            kept.collect()
        } else {
            HashSet::new()
        };
        for engine in self.engines.values_mut() {
            if let Some((_, job)) = engine.prefill.take_if(|(ends, _)| *ends <= now) {
                let load = &loads[job.class];
                self.fleets[job.instance].first_byte(&job.choice, Millis(now));
                if let Some(placer) = &mut self.placer {
                    let kind = UpdateKind::Started(None);
                    send_update(placer, &mut self.fleets[0], &job, kind, now);
                }
                let first_byte = now - job.sent;
                let class_stats = &mut self.stats[job.class];
                class_stats.longest_first_byte = class_stats.longest_first_byte.max(first_byte);
                engine.answers.push(Answer {
                    on_time: first_byte <= load.target,
                    ends: now + load.duration_ms,
                    longest: 0,
                    job,
                });
            }
            if engine.prefill.is_none()
                && let Some((_, job)) = engine.queue.pop_first()
            {
                let load = &loads[job.class];
                let source = job.choice.source;
                let given = source.is_some_and(|from| available.contains(&(from, job.prompt)));
                let kept = !engine.kept.insert(job.prompt);
                let first = self.seen.insert(job.prompt);
                self.stats[job.class].repeated_prefills += u64::from(!kept && !given && !first);
                let shared = match (kept, given) {
                    (true, _) => 0,
                    (false, true) => u64::from(load.shared) / TRANSFER,
                    (false, false) => u64::from(load.shared).div_ceil(SPEED),
                };
                let span = u64::from(load.own).div_ceil(SPEED) + shared;
                let queue = engine.queue.values();
                let behind: u64 = queue
                    .map(|job| u64::from(loads[job.class].own) / SPEED)
                    .sum();
                for answer in &mut engine.answers {
                    let pause = if self.queue_pauses {
                        (span + behind).min(EVENT_GAP_DURING_PREFILL)
                    } else {
                        span
                    };
                    answer.longest = answer.longest.max(pause);
                }
                engine.prefill = Some((now + span, job));
            }
            for answer in engine.answers.extract_if(.., |answer| answer.ends <= now) {
                let job = answer.job;
                let paused = answer.longest > loads[job.class].pause;
                self.stats[job.class].on_time += u64::from(answer.on_time && !paused);
                let fleet = &mut self.fleets[job.instance];
                fleet.record_pause(&job.choice, Millis(answer.longest), Millis(now));
                fleet.done(&job.choice, Outcome::Complete, 50, Millis(now));
                if let Some(placer) = &mut self.placer {
                    let kind = UpdateKind::Ended(RequestEnd {
                        result: Outcome::Complete,
                        tokens: 50,
                        pause: Some(Millis(answer.longest)),
                    });
                    send_update(placer, &mut self.fleets[0], &job, kind, now);
                }
            }
        }
        if self.gossip && now.is_multiple_of(100) {
            self.share(now);
        }
        if now.is_multiple_of(500) {
            for fleet in &mut self.fleets {
                fleet.tick(Millis(now));
            }
        }
    }
}

impl Simulation {
    /// Passes the load of each instance to all others.
    fn share(&mut self, now: u64) {
        let fleets = self.fleets.iter_mut();
        let loads_by_fleet: Vec<_> = fleets.map(|fleet| fleet.local_load(Millis(now))).collect();
        for (me, fleet) in self.fleets.iter_mut().enumerate() {
            let mut others = LoadSum::default();
            let heard = loads_by_fleet
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != me);
            for (_, load) in heard {
                others.add(load, 1.0);
            }
            fleet.set_others_load(&others);
            let heard = loads_by_fleet
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != me);
            for (_, load) in heard {
                fleet.add_cached_prefixes(&load.cached, Millis(now));
            }
        }
    }
}

impl Simulation {
    /// Makes the first instance the placer.
    pub(crate) fn place_centrally(&mut self) {
        self.placer = Some(Placer::default());
        self.fleets[0].set_placer(true);
    }

    /// Makes the first instance the placer, with a line.
    pub(crate) fn wait_in_line(&mut self) {
        self.place_centrally();
        self.placer = Some(Placer::with_line());
        self.has_line = true;
        let spec = EngineSpec {
            service: "svc".to_owned(),
            transfer_rate: None,
            capacity: Some(EngineCapacity {
                slots: 64,
                tokens: 1_000_000,
            }),
            event_tokens: None,
        };
        for fleet in &mut self.fleets {
            fleet.set_engines(std::slice::from_ref(&spec));
        }
    }

    /// Ends engines for good, with all that they have.
    pub(crate) fn lose_engines(&mut self, count: usize) {
        for engine in 0..count {
            let id = record(engine).id;
            self.engines.remove(&id);
            for fleet in &mut self.fleets {
                fleet.unlist(&id);
            }
        }
    }

    pub(crate) fn run(&mut self, loads: [Load; 2], seconds: u64) -> Vec<ClassStats> {
        let live = loads.iter().find(|load| load.live);
        let pauses = live.map(|load| ("svc".to_owned(), Millis(load.pause)));
        for fleet in &mut self.fleets {
            fleet.set_live_pauses(pauses.iter().cloned().collect());
        }
        // Time starts late, so that everything in the initial state of the fleets is old.
        for now in 10_000..10_000 + seconds * 1000 {
            for (class, load) in loads.iter().enumerate() {
                // Offset the classes slightly, so that they don't arrive in step.
                let at = now + class as u64 * 7;
                let due = (at + 1) * load.rate / 1000 - at * load.rate / 1000;
                for _ in 0..due {
                    self.arrive(class, load, now);
                }
            }
            self.serve_line(now);
            self.step(&loads, now);
        }
        self.stats.clone()
    }
}

/// Sends an update of a request to the first instance.
fn send_update(placer: &mut Placer, fleet: &mut Fleet, job: &Job, kind: UpdateKind, now: u64) {
    let number = job.number;
    let note = RequestUpdate { number, kind };
    placer.apply_update(fleet, peer_of(job.instance), note, Millis(now));
}

fn peer_of(instance: usize) -> SocketAddr {
    ([10, 1, 0, instance as u8], 7340).into()
}

fn address_of(id: &str) -> SocketAddr {
    let number: u8 = id["engine-".len()..]
        .parse()
        .expect("the name was made by `record`");
    ([10, 0, 0, number], 80).into()
}

fn record(number: usize) -> ServerRecord {
    let record = engine(number as u32, 64);
    ServerRecord {
        address: address_of(&record.id),
        zone: String::new(),
        ..record
    }
}
