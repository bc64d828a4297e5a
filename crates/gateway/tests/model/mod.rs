//! A model of instances before engines that read one prompt after the other, the most urgent first, and keep
//! what they read. The instances choose by themselves, or ask the first of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::Choice;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::Heartbeat;
use crocushold_gateway::LoadSum;
use crocushold_gateway::Need;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::PlacementVerdict;
use crocushold_gateway::Placer;
use crocushold_gateway::Presence;
use crocushold_gateway::RequestEnd;
use crocushold_gateway::RequestUpdate;
use crocushold_gateway::ServerRecord;
use crocushold_gateway::UpdateKind;
use crocushold_routing::Outcome;

/// Instances and engines where none are named.
const INSTANCES: usize = 4;
const ENGINES: usize = 12;
/// Tokens that an engine reads in a millisecond.
pub(crate) const SPEED: u64 = 50;
/// Tokens of a prompt that an engine brings from another in a millisecond.
pub(crate) const TRANSFER: u64 = 210;
/// How long a stream that runs beside prompts that are read waits for an event: it holds four tokens, and
/// between two tokens a piece of a prompt is read.
const EVENT_BESIDE: u64 = 132;

/// A class of requests.
#[derive(Clone, Copy)]
pub(crate) struct Load {
    /// Requests a second over all instances.
    pub(crate) rate: u64,
    pub(crate) shared: u32,
    pub(crate) own: u32,
    pub(crate) rank: u8,
    /// How many shared prompts there are.
    pub(crate) prompts: u64,
    pub(crate) target: u64,
    /// The longest pause between events that a stream bears.
    pub(crate) pause: u64,
    /// Whether its streams may have engines of their own.
    pub(crate) live: bool,
    /// From the first token of an answer to its end.
    pub(crate) lasts: u64,
    pub(crate) limit: Option<Millis>,
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
    lasts: 300,
    limit: None,
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
    lasts: 300,
    limit: Some(Millis(960)),
};

/// How a class fared, in percent of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fare {
    pub(crate) asked: u64,
    pub(crate) in_time: u64,
    pub(crate) refused: u64,
    pub(crate) reread: u64,
    /// The longest time to the first byte, in milliseconds.
    pub(crate) longest_first_byte: u64,
}

impl Fare {
    pub(crate) fn percent(&self, part: u64) -> u64 {
        100 * part / self.asked.max(1)
    }
}

struct Job {
    class: usize,
    instance: usize,
    choice: Choice,
    /// By which the instance that placed it knows it.
    number: u32,
    sent: u64,
    prompt: u32,
    rank: u8,
}

#[derive(Default)]
struct Engine {
    /// By rank, then by arrival.
    queue: BTreeMap<(u8, u64), Job>,
    /// The prompt that is read, and when it was.
    reading: Option<(u64, Job)>,
    kept: HashSet<u32>,
    answers: Vec<Answer>,
}

/// An answer that has begun.
struct Answer {
    job: Job,
    ends: u64,
    in_time: bool,
    longest: u64,
}

pub(crate) struct World {
    pub(crate) fleets: Vec<Fleet>,
    engines: HashMap<String, Engine>,
    pub(crate) seen: HashSet<u32>,
    fares: Vec<Fare>,
    number: u64,
    /// Whether the instances tell each other what they have waiting.
    pub(crate) sharing: bool,
    /// Whether engines bring prompts from each other.
    pub(crate) moving: bool,
    /// Whether prompts that wait behind the one that is read make a stream's pause longer.
    pub(crate) rows: bool,
    /// The requests that the first instance placed for the others, where they ask it.
    placer: Option<Placer>,
}

impl World {
    pub(crate) fn new(sharing: bool) -> World {
        World::sized(sharing, INSTANCES, ENGINES)
    }

    pub(crate) fn sized(sharing: bool, instances: usize, engines: usize) -> World {
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
        World {
            fleets: fleets.collect(),
            engines: engines.collect(),
            seen: HashSet::new(),
            fares: vec![Fare::default(); 2],
            number: 0,
            sharing,
            moving: false,
            rows: false,
            placer: None,
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
        self.fares[class].asked += 1;
        let Some(choice) = self.choose(instance, &need, Millis(now)) else {
            self.fares[class].refused += 1;
            return;
        };
        let engine = self.engines.get_mut(&*choice.id);
        let engine = engine.expect("only listed engines are chosen");
        let job = Job {
            class,
            instance,
            choice,
            number: self.number as u32,
            sent: now,
            prompt,
            rank: load.rank,
        };
        engine.queue.insert((job.rank, self.number), job);
    }

    /// Where a request of an instance goes; `None` where it is refused.
    fn choose(&mut self, instance: usize, need: &Need, now: Millis) -> Option<Choice> {
        let Some(placer) = self.placer.as_mut().filter(|_| instance > 0) else {
            return self.fleets[instance].pick(need, &[], now).ok();
        };
        let ask = PlacementRequest {
            number: self.number as u32,
            zone: String::new(),
            remaining: Millis::from_secs(30),
            tried: Vec::new(),
            need: need.clone(),
        };
        let from = peer_of(instance);
        let reply = placer.place(&mut self.fleets[0], from, &ask, now);
        let PlacementVerdict::Placed(place) = reply.verdict else {
            return None;
        };
        let adopted = self.fleets[instance].adopt(need, &place, &[], now);
        Some(adopted.expect("all instances list the same engines"))
    }

    fn step(&mut self, loads: &[Load; 2], now: u64) {
        // What engines could give to others before this step.
        let giving: HashSet<(SocketAddr, u32)> = if self.moving {
            let kept = self.engines.iter().flat_map(|(id, engine)| {
                let from = address_of(id);
                engine.kept.iter().map(move |prompt| (from, *prompt))
            });
            kept.collect()
        } else {
            HashSet::new()
        };
        for engine in self.engines.values_mut() {
            if let Some((_, job)) = engine.reading.take_if(|(ends, _)| *ends <= now) {
                let load = &loads[job.class];
                self.fleets[job.instance].first_byte(&job.choice, Millis(now));
                if let Some(placer) = &mut self.placer {
                    let kind = UpdateKind::Started(None);
                    tell(placer, &mut self.fleets[0], &job, kind, now);
                }
                let first_byte = now - job.sent;
                let fare = &mut self.fares[job.class];
                fare.longest_first_byte = fare.longest_first_byte.max(first_byte);
                engine.answers.push(Answer {
                    in_time: first_byte <= load.target,
                    ends: now + load.lasts,
                    longest: 0,
                    job,
                });
            }
            if engine.reading.is_none()
                && let Some((_, job)) = engine.queue.pop_first()
            {
                let load = &loads[job.class];
                let source = job.choice.source;
                let given = source.is_some_and(|from| giving.contains(&(from, job.prompt)));
                let kept = !engine.kept.insert(job.prompt);
                let first = self.seen.insert(job.prompt);
                self.fares[job.class].reread += u64::from(!kept && !given && !first);
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
                    let pause = if self.rows {
                        (span + behind).min(EVENT_BESIDE)
                    } else {
                        span
                    };
                    answer.longest = answer.longest.max(pause);
                }
                engine.reading = Some((now + span, job));
            }
            for answer in engine.answers.extract_if(.., |answer| answer.ends <= now) {
                let job = answer.job;
                let paused = answer.longest > loads[job.class].pause;
                self.fares[job.class].in_time += u64::from(answer.in_time && !paused);
                let fleet = &mut self.fleets[job.instance];
                fleet.paused(&job.choice, Millis(answer.longest), Millis(now));
                fleet.done(&job.choice, Outcome::Complete, 50, Millis(now));
                if let Some(placer) = &mut self.placer {
                    let kind = UpdateKind::Ended(RequestEnd {
                        outcome: Outcome::Complete,
                        tokens: 50,
                        pause: Some(Millis(answer.longest)),
                    });
                    tell(placer, &mut self.fleets[0], &job, kind, now);
                }
            }
        }
        if self.sharing && now.is_multiple_of(100) {
            self.share(now);
        }
        if now.is_multiple_of(500) {
            for fleet in &mut self.fleets {
                fleet.tick(Millis(now));
            }
        }
    }
}

impl World {
    /// Each instance hears what all others have.
    fn share(&mut self, now: u64) {
        let fleets = self.fleets.iter_mut();
        let told: Vec<_> = fleets.map(|fleet| fleet.local_load(Millis(now))).collect();
        for (me, fleet) in self.fleets.iter_mut().enumerate() {
            let mut others = LoadSum::default();
            let heard = told.iter().enumerate().filter(|(other, _)| *other != me);
            for (_, load) in heard {
                others.add(load, 1.0);
            }
            fleet.set_others_load(&others);
            let heard = told.iter().enumerate().filter(|(other, _)| *other != me);
            for (_, load) in heard {
                fleet.add_cached_prefixes(&load.cached, Millis(now));
            }
        }
    }
}

impl World {
    /// The first instance chooses for all from now on.
    pub(crate) fn place_centrally(&mut self) {
        self.placer = Some(Placer::default());
        self.fleets[0].set_placer(true);
    }

    pub(crate) fn run(&mut self, loads: [Load; 2], seconds: u64) -> Vec<Fare> {
        // Time starts late, as everything that the fleets remember is older then.
        for now in 10_000..10_000 + seconds * 1000 {
            for (class, load) in loads.iter().enumerate() {
                // A little apart, so that the classes don't arrive in step.
                let at = now + class as u64 * 7;
                let due = (at + 1) * load.rate / 1000 - at * load.rate / 1000;
                for _ in 0..due {
                    self.arrive(class, load, now);
                }
            }
            self.step(&loads, now);
        }
        self.fares.clone()
    }
}

/// What became of a request is told to the first instance.
fn tell(placer: &mut Placer, fleet: &mut Fleet, job: &Job, kind: UpdateKind, now: u64) {
    let number = job.number;
    let note = RequestUpdate { number, kind };
    placer.note(fleet, peer_of(job.instance), note, Millis(now));
}

fn peer_of(instance: usize) -> SocketAddr {
    ([10, 1, 0, instance as u8], 7340).into()
}

fn address_of(id: &str) -> SocketAddr {
    let number: u8 = id["engine-".len()..].parse().expect("the test named it");
    ([10, 0, 0, number], 80).into()
}

fn record(engine: usize) -> ServerRecord {
    let id = format!("engine-{engine}");
    ServerRecord {
        address: address_of(&id),
        id,
        service: "svc".to_owned(),
        zone: String::new(),
        slots: 64,
        presence: Presence::Ready,
        started: None,
        models: vec!["m".to_owned()],
        heartbeat: Heartbeat::default(),
    }
}
