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

use super::Dispatch;
use super::Pool;
use super::PoolSettings;
use super::QueueResult;
use super::QueuedRequest;
use super::Requirements;
use super::ServerGroup;

const REQUIREMENTS: Requirements = Requirements {
    model: None,
    prefix: None,
    tier: 0,
    idempotent: true,
    tokens: 0,
};

/// A pool of one server with one slot, and a request that it admits.
struct SingleServer {
    pool: Arc<Pool>,
    server: ServerKey,
    arrival: Arrival,
}

impl SingleServer {
    fn new() -> SingleServer {
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
                software: None,
                concurrency: 1,
                models: Vec::new(),
            };
            let group = ServerGroup {
                specs: vec![spec],
                subset_size: 8,
                heterogeneous: false,
            };
            state.set_servers(group, now);
        });
        let arrival = Arrival {
            class,
            account,
            max_tokens: 1,
            ..Arrival::default()
        };
        SingleServer {
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

// A caller disconnects right after its request was dispatched, so nobody receives the result.
// Nothing was sent to a server, so the server's slot must be released. Otherwise each such event
// would reduce the service's capacity until the instance is replaced.
#[test]
fn an_unreceived_dispatch_releases_both_slots() {
    let single = SingleServer::new();
    let queued = single.pool.submit(&single.arrival, REQUIREMENTS).unwrap();
    assert_eq!(single.in_flight(), 1, "dispatched");
    single.pool.withdraw(queued);
    assert_eq!(single.in_flight(), 0);
    assert!(single.pool.lock().queued.is_empty());
}

// An attempt fails and the request is queued again. Its caller disconnects, or the request is
// dispatched when a slot is free: in both cases it holds one queue entry and one slot, and releases
// what it holds.
#[test]
fn a_requeued_request_holds_one_entry_and_one_slot() {
    let single = SingleServer::new();
    let mut first = single.pool.submit(&single.arrival, REQUIREMENTS).unwrap();
    let second = single.pool.submit(&single.arrival, REQUIREMENTS).unwrap();
    let Ok(Some(QueueResult::Dispatched(dispatch))) = first.queue_result.try_recv() else {
        panic!("the first request was not dispatched");
    };
    // The second request takes the slot that the failed attempt released.
    let attempt = dispatch.pick.attempt;
    single.pool.end_attempt(attempt, Outcome::Cancelled, 0);
    let ticket = dispatch.ticket.sent().not_run(NotRun::NothingWritten);
    let mut again = single
        .pool
        .requeue(ticket, REQUIREMENTS, vec![single.server]);
    assert!(
        matches!(again.queue_result.try_recv(), Ok(None)),
        "it waits"
    );
    single.pool.withdraw(second);
    assert!(matches!(
        again.queue_result.try_recv(),
        Ok(Some(QueueResult::Dispatched(_)))
    ));
    assert_eq!(single.in_flight(), 1);
    let third = single.pool.submit(&single.arrival, REQUIREMENTS).unwrap();
    single.pool.withdraw(third);
    assert_eq!(single.pool.lock().queued.len(), 0);
}

/// Sixty servers with eight slots and two senders each, and twelve instances.
struct SubsetFixture {
    pool: Arc<Pool>,
    keys: Vec<ServerKey>,
    class: ClassKey,
    account: AccountKey,
    /// Configured for all servers.
    model: ModelKey,
    now: Millis,
}

impl SubsetFixture {
    fn new() -> SubsetFixture {
        let mut models: SlotMap<ModelKey, ()> = SlotMap::with_key();
        let mut classes: SlotMap<ClassKey, ()> = SlotMap::with_key();
        let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
        let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let settings = PoolSettings {
            senders: 2,
            ..PoolSettings::default()
        };
        let fixture = SubsetFixture {
            pool: Pool::new(Clock::start(), &settings),
            keys: (0..60).map(|_| servers.insert(())).collect(),
            class: classes.insert(()),
            account: accounts.insert(()),
            model: models.insert(()),
            now: Millis(1_000),
        };
        let class = ClassSpec {
            key: fixture.class,
            max_wait: Millis::MAX,
            ..ClassSpec::default()
        };
        let account = AccountSpec {
            key: fixture.account,
            ..AccountSpec::default()
        };
        let specs = fixture.keys.iter().zip(0..).map(|(&key, at)| ServerSpec {
            key,
            id: 1 + at * 1_000_003,
            zone: String::new(),
            region: None,
            software: None,
            concurrency: 8,
            models: vec![fixture.model],
        });
        let group = ServerGroup {
            specs: specs.collect(),
            subset_size: 8,
            heterogeneous: true,
        };
        let now = fixture.now;
        let mut state = fixture.pool.lock();
        state.scheduler.configure(&[class], &[account], now);
        for &key in &fixture.keys {
            state.addresses.insert(key, ([127, 0, 0, 1], 1).into());
        }
        state.set_servers(group, now);
        state.set_fleet(&fleet(1..13), now);
        drop(state);
        fixture
    }

    fn own(&self) -> Vec<ServerKey> {
        self.pool.lock().in_reach().collect()
    }

    fn submit(&self) -> QueuedRequest {
        self.submit_for(REQUIREMENTS)
    }

    fn submit_for(&self, requirements: Requirements) -> QueuedRequest {
        let arrival = Arrival {
            class: self.class,
            account: self.account,
            max_tokens: 1,
            ..Arrival::default()
        };
        let mut state = self.pool.lock();
        let queued = state.submit(&arrival, requirements, self.now).unwrap();
        state.run_scheduler(self.now);
        queued
    }

    /// Runs the scheduler at a later time.
    fn wait(&mut self, ms: u64) {
        self.now += Millis(ms);
        self.pool.lock().run_scheduler(self.now);
    }

    fn end(&self, dispatch: &Dispatch, outcome: Outcome) {
        let mut state = self.pool.lock();
        state
            .router
            .done(dispatch.pick.attempt, outcome, 0, self.now);
        state.scheduler.cancel(dispatch.ticket.key(), 0, self.now);
        state.run_scheduler(self.now);
    }

    fn refuse_all(&self, servers: &[ServerKey]) {
        for _ in servers {
            let dispatch = dispatched(&mut self.submit()).unwrap();
            assert!(servers.contains(&dispatch.pick.server));
            self.end(&dispatch, Outcome::Refused);
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

fn dispatched(queued: &mut QueuedRequest) -> Option<Dispatch> {
    match queued.queue_result.try_recv().unwrap()? {
        QueueResult::Dispatched(dispatch) => Some(dispatch),
        QueueResult::Refused(refusal) => panic!("{refusal:?}"),
    }
}

// Every server of this instance's subset refuses connections while fifty others are idle. The
// caller is served by one of those immediately, instead of waiting for a server that is down.
#[test]
fn a_failed_subset_refuses_nobody() {
    let mut fixture = SubsetFixture::new();
    let own = fixture.own();
    assert!((6..=16).contains(&own.len()), "{}", own.len());
    fixture.refuse_all(&own);
    let dispatch = dispatched(&mut fixture.submit()).expect("served immediately");
    assert!(!own.contains(&dispatch.pick.server));
    fixture.end(&dispatch, Outcome::Complete);
    assert!(fixture.own().len() > own.len());
    // The servers of the subset are tried again, respond, and after a while suffice.
    for _ in 0..40 {
        fixture.wait(500);
        let dispatch = dispatched(&mut fixture.submit()).unwrap();
        fixture.end(&dispatch, Outcome::Complete);
    }
    assert_eq!(fixture.own(), own);
}

// An attempt of a request failed, and all servers of the subset are ejected. The request isn't
// queued again, so a free server outside the subset must be found now, or the caller is refused
// although there is one.
#[test]
fn a_failed_attempt_is_retried_outside_the_subset() {
    let fixture = SubsetFixture::new();
    let own = fixture.own();
    fixture.refuse_all(&own);
    assert_eq!(fixture.own(), own, "no request was without a server so far");
    let facts = RequestFacts {
        idempotent: true,
        relayed: false,
        written: false,
        attempts: 1,
        deadline: Millis::MAX,
    };
    let picked = fixture.pool.lock().pick_for_retry(
        &facts,
        Stage::NotConnected,
        &REQUIREMENTS,
        &own[..1],
        fixture.now,
    );
    let (pick, _) = picked.unwrap();
    assert!(!own.contains(&pick.server));
}

// Two attempts of a request were refused, and it isn't known yet that the whole subset is down. The
// third and last attempt must be made outside it.
#[test]
fn the_last_attempt_is_made_outside_the_subset() {
    let fixture = SubsetFixture::new();
    let own = fixture.own();
    let facts = RequestFacts {
        idempotent: false,
        relayed: false,
        written: false,
        attempts: 2,
        deadline: Millis::MAX,
    };
    let mut state = fixture.pool.lock();
    let tried = &own[..2];
    let picked = state.pick_for_retry(
        &facts,
        Stage::NotConnected,
        &REQUIREMENTS,
        tried,
        fixture.now,
    );
    let (pick, _) = picked.unwrap();
    assert!(!own.contains(&pick.server));
}

// All slots of the subset are held by long responses and a request is queued. The servers outside
// may be idle, so after a second each may be given one request. Servers whose report says that they
// are full must get none, or an overload of the whole fleet would put more requests on every server
// than it can run.
#[test]
fn a_full_subset_borrows_from_servers_that_are_not_full() {
    let mut fixture = SubsetFixture::new();
    let own = fixture.own();
    let slots = fixture.pool.lock().router.free(fixture.now);
    let dispatches: Vec<_> = (0..slots)
        .map(|_| dispatched(&mut fixture.submit()).unwrap())
        .collect();
    let mut late = fixture.submit();
    assert!(dispatched(&mut late).is_none());
    fixture.wait(900);
    assert!(dispatched(&mut late).is_none());
    fixture.wait(200);
    let dispatch = dispatched(&mut late).expect("borrowed");
    assert!(!own.contains(&dispatch.pick.server));
    let full = LoadReport {
        running: 8,
        ..LoadReport::default()
    };
    let beyond: Vec<_> = fixture
        .own()
        .into_iter()
        .filter(|key| !own.contains(key))
        .collect();
    for &key in &beyond {
        let now = fixture.now;
        fixture.pool.lock().router.load_report(key, full, now);
    }
    let mut next = fixture.submit();
    fixture.wait(5_000);
    assert!(dispatched(&mut next).is_none(), "all others are full");
    for &key in &beyond {
        let now = fixture.now;
        let idle = LoadReport::default();
        fixture.pool.lock().router.load_report(key, idle, now);
    }
    fixture.wait(100);
    assert!(dispatched(&mut next).is_some());
    drop(dispatches);
}

// A model is held by a few servers, none of which is in the subset. A request for it must reach one
// within seconds instead of being refused as for an unknown model. It must not be sent to a server
// that has not reported the model, where the caller would be told that there is no such model.
#[test]
fn a_model_outside_the_subset_is_found() {
    let mut fixture = SubsetFixture::new();
    let own = fixture.own();
    let report = |fixture: &SubsetFixture, key, models: &[ModelKey]| {
        let mut state = fixture.pool.lock();
        state.set_loaded(key, models.to_vec(), fixture.now);
    };
    for &key in &own {
        report(&fixture, key, &[]);
    }
    let requirements = Requirements {
        model: Some(fixture.model),
        ..REQUIREMENTS
    };
    let mut queued = fixture.submit_for(requirements);
    let reached = fixture.own();
    assert!(
        reached.len() > own.len(),
        "the reach is widened immediately"
    );
    assert!(
        dispatched(&mut queued).is_none(),
        "not sent to a server that may lack the model"
    );
    let holder = *reached.iter().find(|key| !own.contains(key)).unwrap();
    report(&fixture, holder, &[fixture.model]);
    fixture.wait(100);
    let dispatch = dispatched(&mut queued).expect("served");
    assert_eq!(dispatch.pick.server, holder);
    fixture.end(&dispatch, Outcome::Complete);
    // Narrowing would only lose the server again.
    for _ in 0..60 {
        fixture.wait(500);
    }
    assert!(fixture.own().contains(&holder));
}

// No server of the whole service holds a model. Its callers must be told so once all servers have
// reported, instead of waiting forever.
#[test]
fn a_model_that_nobody_holds_is_refused() {
    let mut fixture = SubsetFixture::new();
    for key in fixture.own() {
        fixture.pool.lock().set_loaded(key, Vec::new(), fixture.now);
    }
    let requirements = Requirements {
        model: Some(fixture.model),
        ..REQUIREMENTS
    };
    let mut queued = fixture.submit_for(requirements);
    for _ in 0..6 {
        for key in fixture.own() {
            fixture.pool.lock().set_loaded(key, Vec::new(), fixture.now);
        }
        fixture.wait(2_000);
    }
    assert_eq!(fixture.own().len(), fixture.keys.len());
    let result = queued.queue_result.try_recv().unwrap();
    assert!(
        matches!(result, Some(QueueResult::Refused(_))),
        "{result:?}"
    );
}

// An instance joins, and some servers of this instance's subset are assigned to others. Their
// responses to this instance's callers complete, their slots are released, and no new request is
// sent there.
#[test]
fn a_server_that_leaves_the_subset_completes_its_requests() {
    let fixture = SubsetFixture::new();
    let dispatches: Vec<_> = (0..20)
        .map(|_| dispatched(&mut fixture.submit()).unwrap())
        .collect();
    let before = fixture.own();
    fixture.pool.lock().set_fleet(&fleet(1..18), fixture.now);
    let after = fixture.own();
    let left: Vec<_> = before.iter().filter(|key| !after.contains(key)).collect();
    assert!(!left.is_empty());
    let on_left = dispatches.iter().filter(|s| left.contains(&&s.pick.server));
    assert!(on_left.count() > 0);
    for dispatch in dispatches {
        let server = dispatch.pick.server;
        let standing = fixture.pool.lock().router.standing(server);
        assert!(standing.is_some_and(|standing| standing.in_flight > 0));
        fixture.end(&dispatch, Outcome::Complete);
    }
    let state = fixture.pool.lock();
    assert!(
        left.iter()
            .all(|key| state.router.standing(**key).is_none())
    );
    for key in after {
        assert_eq!(state.router.standing(key).unwrap().in_flight, 0);
    }
}
