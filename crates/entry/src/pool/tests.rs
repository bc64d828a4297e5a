use std::ops::Range;
use std::sync::Arc;

use crocushold_admission::AccountSpec;
use crocushold_admission::Arrival;
use crocushold_admission::ClassSpec;
use crocushold_admission::NotRun;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::EntryFleet;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::RequestFacts;
use crocushold_routing::ServerSpec;
use crocushold_routing::Stage;
use slotmap::SlotMap;

use super::Need;
use super::Pool;
use super::PoolSettings;
use super::ServerGroup;
use super::Start;
use super::Turn;
use super::Waiting;

const NEED: Need = Need {
    model: None,
    prefix: None,
    tier: 0,
    idempotent: true,
    tokens: 0,
};

/// A pool of one server with one slot, and an arrival that it admits.
struct Bed {
    pool: Arc<Pool>,
    server: ServerKey,
    arrival: Arrival,
}

impl Bed {
    fn new() -> Bed {
        let mut classes: SlotMap<ClassKey, ()> = SlotMap::with_key();
        let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
        let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let (class, account) = (classes.insert(()), accounts.insert(()));
        let server = servers.insert(());
        let pool = Pool::new(Clock::start(), &PoolSettings::default());
        pool.update(|state, now| {
            let class = ClassSpec {
                key: class,
                ..ClassSpec::default()
            };
            let account = AccountSpec {
                key: account,
                ..AccountSpec::default()
            };
            state.scheduler.configure(&[class], &[account], now);
            state.addresses.insert(server, ([127, 0, 0, 1], 1).into());
            let spec = ServerSpec {
                key: server,
                id: 1,
                zone: String::new(),
                region: None,
                concurrency: 1,
                models: Vec::new(),
            };
            let group = ServerGroup {
                specs: vec![spec],
                wanted: 8,
                mixed: false,
            };
            state.set_servers(group, now);
        });
        let arrival = Arrival {
            class,
            account,
            max_tokens: 1,
            ..Arrival::default()
        };
        Bed {
            pool,
            server,
            arrival,
        }
    }

    fn in_flight(&self) -> u32 {
        self.pool
            .lock()
            .router
            .standing(self.server)
            .unwrap()
            .in_flight
    }
}

// A caller hangs up at the very moment at which its request gets its turn: the turn was sent and
// nobody will take it. Nothing was sent to a server, so the server's slot must come back; if it
// didn't, each such moment would shrink the service until the instance is replaced.
#[test]
fn a_turn_that_nobody_takes_gives_both_slots_back() {
    let bed = Bed::new();
    let waiting = bed.pool.submit(&bed.arrival, NEED).unwrap();
    assert_eq!(bed.in_flight(), 1, "the turn was sent");
    bed.pool.withdraw(waiting);
    assert_eq!(bed.in_flight(), 0);
    assert!(bed.pool.lock().waiting.is_empty());
}

// A request's attempt fails and it waits for a second turn. Its caller hangs up there, or gets the turn
// when the slot comes free: either way it holds one place and one slot, and gives back what it holds.
#[test]
fn a_second_turn_is_given_and_taken_back_like_the_first() {
    let bed = Bed::new();
    let mut first = bed.pool.submit(&bed.arrival, NEED).unwrap();
    let second = bed.pool.submit(&bed.arrival, NEED).unwrap();
    let Ok(Some(Turn::Start(start))) = first.turn.try_recv() else {
        panic!("the first has its turn");
    };
    // The second takes the slot that the failed attempt gave back.
    let attempt = start.pick.attempt;
    bed.pool.end_attempt(attempt, Outcome::Cancelled, 0);
    let ticket = start.ticket.sent().not_run(NotRun::NothingWritten);
    let mut again = bed.pool.requeue(ticket, NEED, vec![bed.server]);
    assert!(matches!(again.turn.try_recv(), Ok(None)), "it waits");
    bed.pool.withdraw(second);
    assert!(matches!(again.turn.try_recv(), Ok(Some(Turn::Start(_)))));
    assert_eq!(bed.in_flight(), 1);
    let third = bed.pool.submit(&bed.arrival, NEED).unwrap();
    bed.pool.withdraw(third);
    assert_eq!(bed.pool.lock().waiting.len(), 0);
}

/// Sixty servers of eight slots, with two senders each, before twelve instances.
struct Shared {
    pool: Arc<Pool>,
    keys: Vec<ServerKey>,
    class: ClassKey,
    account: AccountKey,
    /// Configured for all servers.
    model: ModelKey,
    now: Millis,
}

impl Shared {
    fn new() -> Shared {
        let mut models: SlotMap<ModelKey, ()> = SlotMap::with_key();
        let mut classes: SlotMap<ClassKey, ()> = SlotMap::with_key();
        let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
        let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let settings = PoolSettings {
            senders: 2,
            ..PoolSettings::default()
        };
        let shared = Shared {
            pool: Pool::new(Clock::start(), &settings),
            keys: (0..60).map(|_| servers.insert(())).collect(),
            class: classes.insert(()),
            account: accounts.insert(()),
            model: models.insert(()),
            now: Millis(1_000),
        };
        let class = ClassSpec {
            key: shared.class,
            max_wait: Millis::MAX,
            ..ClassSpec::default()
        };
        let account = AccountSpec {
            key: shared.account,
            ..AccountSpec::default()
        };
        let specs = shared.keys.iter().zip(0..).map(|(&key, at)| ServerSpec {
            key,
            id: 1 + at * 1_000_003,
            zone: String::new(),
            region: None,
            concurrency: 8,
            models: vec![shared.model],
        });
        let group = ServerGroup {
            specs: specs.collect(),
            wanted: 8,
            mixed: true,
        };
        let now = shared.now;
        let mut state = shared.pool.lock();
        state.scheduler.configure(&[class], &[account], now);
        for &key in &shared.keys {
            state.addresses.insert(key, ([127, 0, 0, 1], 1).into());
        }
        state.set_servers(group, now);
        state.set_fleet(&fleet(1..13), now);
        drop(state);
        shared
    }

    fn own(&self) -> Vec<ServerKey> {
        self.pool.lock().in_reach().collect()
    }

    fn submit(&self) -> Waiting {
        self.submit_for(NEED)
    }

    fn submit_for(&self, need: Need) -> Waiting {
        let arrival = Arrival {
            class: self.class,
            account: self.account,
            max_tokens: 1,
            ..Arrival::default()
        };
        let mut state = self.pool.lock();
        let waiting = state.submit(&arrival, need, self.now).unwrap();
        state.pump(self.now);
        waiting
    }

    /// Lets the scheduler run at a later time.
    fn wait(&mut self, ms: u64) {
        self.now += Millis(ms);
        self.pool.lock().pump(self.now);
    }

    fn end(&self, start: &Start, outcome: Outcome) {
        let mut state = self.pool.lock();
        state.router.done(start.pick.attempt, outcome, 0, self.now);
        state.scheduler.cancel(start.ticket.key(), 0, self.now);
        state.pump(self.now);
    }

    fn refuse_all(&self, servers: &[ServerKey]) {
        for _ in servers {
            let start = turn(&mut self.submit()).unwrap();
            assert!(servers.contains(&start.pick.server));
            self.end(&start, Outcome::Refused);
        }
    }
}

fn fleet(instances: Range<u64>) -> EntryFleet {
    EntryFleet {
        instances: instances.collect(),
        local_id: 1,
        ..EntryFleet::default()
    }
}

fn turn(waiting: &mut Waiting) -> Option<Start> {
    match waiting.turn.try_recv().unwrap()? {
        Turn::Start(start) => Some(start),
        Turn::Refused(refusal) => panic!("{refusal:?}"),
    }
}

// Every server of this instance's subset refuses connections while fifty others are idle. The caller
// is served by one of those at once, instead of waiting for a server that is gone.
#[test]
fn a_dead_subset_refuses_nobody() {
    let mut shared = Shared::new();
    let own = shared.own();
    assert!((6..=16).contains(&own.len()), "{}", own.len());
    shared.refuse_all(&own);
    let start = turn(&mut shared.submit()).expect("served at once");
    assert!(!own.contains(&start.pick.server));
    shared.end(&start, Outcome::Complete);
    assert!(shared.own().len() > own.len());
    // The own servers are tried again, answer, and are enough after a while.
    for _ in 0..40 {
        shared.wait(500);
        let start = turn(&mut shared.submit()).unwrap();
        shared.end(&start, Outcome::Complete);
    }
    assert_eq!(shared.own(), own);
}

// A request failed on a server, and all servers of the subset are out. It doesn't wait in the queue
// again, so what is free elsewhere has to be found now, or the caller is refused beside it.
#[test]
fn a_failed_attempt_goes_beyond_the_subset() {
    let shared = Shared::new();
    let own = shared.own();
    shared.refuse_all(&own);
    assert_eq!(shared.own(), own, "nobody lacked a server so far");
    let facts = RequestFacts {
        idempotent: true,
        relayed: false,
        written: false,
        attempts: 1,
        deadline: Millis::MAX,
    };
    let picked =
        shared
            .pool
            .lock()
            .repick(&facts, Stage::NotConnected, &NEED, &own[..1], shared.now);
    let (pick, _) = picked.unwrap();
    assert!(!own.contains(&pick.server));
}

// Two attempts of a request were refused, and nobody knows yet that the whole subset is gone. The
// third and last must not be spent on it.
#[test]
fn the_last_attempt_is_made_beyond_the_subset() {
    let shared = Shared::new();
    let own = shared.own();
    let facts = RequestFacts {
        idempotent: false,
        relayed: false,
        written: false,
        attempts: 2,
        deadline: Millis::MAX,
    };
    let mut state = shared.pool.lock();
    let tried = &own[..2];
    let picked = state.repick(&facts, Stage::NotConnected, &NEED, tried, shared.now);
    let (pick, _) = picked.unwrap();
    assert!(!own.contains(&pick.server));
}

// All slots of the subset are taken by long answers and a request waits. The servers beyond may be
// idle, so after a second each may be given one request; but none whose report says that it is full,
// or an overload of the whole fleet would put more on every server than it can run.
#[test]
fn a_full_subset_borrows_from_servers_that_are_not_full() {
    let mut shared = Shared::new();
    let own = shared.own();
    let slots = shared.pool.lock().router.free(shared.now);
    let starts: Vec<_> = (0..slots)
        .map(|_| turn(&mut shared.submit()).unwrap())
        .collect();
    let mut late = shared.submit();
    assert!(turn(&mut late).is_none());
    shared.wait(900);
    assert!(turn(&mut late).is_none());
    shared.wait(200);
    let start = turn(&mut late).expect("borrowed");
    assert!(!own.contains(&start.pick.server));
    let full = LoadReport {
        running: 8,
        ..LoadReport::default()
    };
    let beyond: Vec<_> = shared
        .own()
        .into_iter()
        .filter(|key| !own.contains(key))
        .collect();
    for &key in &beyond {
        let now = shared.now;
        shared.pool.lock().router.load_report(key, full, now);
    }
    let mut next = shared.submit();
    shared.wait(5_000);
    assert!(turn(&mut next).is_none(), "all others are full");
    for &key in &beyond {
        let now = shared.now;
        let idle = LoadReport::default();
        shared.pool.lock().router.load_report(key, idle, now);
    }
    shared.wait(100);
    assert!(turn(&mut next).is_some());
    drop(starts);
}

// A model is to be held by a few servers, none of which is in the subset. The request for it reaches
// one within seconds instead of being refused as for an unknown model, and goes to no server that
// hasn't said that it holds the model: the caller would be told that there is none.
#[test]
fn a_model_outside_the_subset_is_found() {
    let mut shared = Shared::new();
    let own = shared.own();
    let report = |shared: &Shared, key, models: &[ModelKey]| {
        let mut state = shared.pool.lock();
        state.set_loaded(key, models.to_vec(), shared.now);
    };
    for &key in &own {
        report(&shared, key, &[]);
    }
    let need = Need {
        model: Some(shared.model),
        ..NEED
    };
    let mut waiting = shared.submit_for(need);
    let reached = shared.own();
    assert!(reached.len() > own.len(), "looked for at once");
    assert!(turn(&mut waiting).is_none(), "not sent blindly");
    let holder = *reached.iter().find(|key| !own.contains(key)).unwrap();
    report(&shared, holder, &[shared.model]);
    shared.wait(100);
    let start = turn(&mut waiting).expect("served");
    assert_eq!(start.pick.server, holder);
    shared.end(&start, Outcome::Complete);
    // Narrowing would only lose it again.
    for _ in 0..60 {
        shared.wait(500);
    }
    assert!(shared.own().contains(&holder));
}

// No server of the whole service holds a model. Its callers are told so once all have been asked,
// and don't wait for ever.
#[test]
fn a_model_that_nobody_holds_is_refused() {
    let mut shared = Shared::new();
    for key in shared.own() {
        shared.pool.lock().set_loaded(key, Vec::new(), shared.now);
    }
    let need = Need {
        model: Some(shared.model),
        ..NEED
    };
    let mut waiting = shared.submit_for(need);
    for _ in 0..6 {
        for key in shared.own() {
            shared.pool.lock().set_loaded(key, Vec::new(), shared.now);
        }
        shared.wait(2_000);
    }
    assert_eq!(shared.own().len(), shared.keys.len());
    let told = waiting.turn.try_recv().unwrap();
    assert!(matches!(told, Some(Turn::Refused(_))), "{told:?}");
}

// An instance joins, and some servers of this one become others'. The answers that they give this
// instance's callers go on to their end, their slots come back, and no new request goes there.
#[test]
fn a_server_that_leaves_the_subset_finishes() {
    let shared = Shared::new();
    let starts: Vec<_> = (0..20)
        .map(|_| turn(&mut shared.submit()).unwrap())
        .collect();
    let before = shared.own();
    shared.pool.lock().set_fleet(&fleet(1..18), shared.now);
    let after = shared.own();
    let left: Vec<_> = before.iter().filter(|key| !after.contains(key)).collect();
    assert!(!left.is_empty());
    let on_left = starts.iter().filter(|s| left.contains(&&s.pick.server));
    assert!(on_left.count() > 0);
    for start in starts {
        let server = start.pick.server;
        let standing = shared.pool.lock().router.standing(server);
        assert!(standing.is_some_and(|standing| standing.in_flight > 0));
        shared.end(&start, Outcome::Complete);
    }
    let state = shared.pool.lock();
    assert!(
        left.iter()
            .all(|key| state.router.standing(**key).is_none())
    );
    for key in after {
        assert_eq!(state.router.standing(key).unwrap().in_flight, 0);
    }
}
