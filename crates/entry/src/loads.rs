//! Load reports and cache events, polled from the backend servers.
//!
//! Both are hints: a server that doesn't answer keeps what is known of it, and its own traffic says
//! whether it still works.

use std::collections::HashMap;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::Kind;
use crocushold_platform::Fetch;
use crocushold_platform::Get;
use crocushold_platform::HttpFetch;
use crocushold_platform::wire::CacheEvents;
use crocushold_platform::wire::CacheKind;
use crocushold_platform::wire::LoadReport;
use crocushold_routing as routing;
use futures::StreamExt;
use futures::stream;

use crate::coordination::ModelDemand;
use crate::shared::Shared;
use crate::world::World;

/// Between two rounds of polls.
const PERIOD: Millis = Millis::from_secs(1);

/// The longest wait for one answer.
const TIMEOUT: Millis = Millis(800);

/// Most bytes of an answer.
const LIMIT: usize = 256 * 1024;

/// Polls that are made at a time.
const PARALLEL: usize = 32;

/// Most cache events taken from one answer; the rest is a gap, which the router copes with.
const MAX_EVENTS: usize = 1024;

const OK: u16 = 200;

/// What is remembered of one server between polls.
#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    /// The least difference seen between this clock and the server's: that of the freshest report.
    offset: Option<i64>,
    /// The number of the last cache event.
    last: u64,
}

/// One server to poll.
#[derive(Clone, Debug)]
struct Target {
    key: ServerKey,
    address: String,
    is_engine: bool,
    memory: Memory,
}

/// What a poll brought.
struct Polled {
    key: ServerKey,
    memory: Memory,
    report: Option<(LoadReport, Millis)>,
    /// When the report was asked for.
    asked_at: Millis,
    events: Option<CacheEvents>,
}

/// Polls the servers in reach once a second as long as the process runs.
pub(crate) async fn poll(shared: Arc<Shared>) {
    let fetch = HttpFetch::new(shared.client.clone());
    let mut memories: HashMap<ServerKey, Memory> = HashMap::new();
    loop {
        let world = shared.world();
        let targets = targets(&shared, &world, &memories);
        memories.clear();
        let mut polls = stream::iter(targets)
            .map(|target| poll_one(&fetch, shared.clock, target))
            .buffer_unordered(PARALLEL);
        while let Some(polled) = polls.next().await {
            memories.insert(polled.key, polled.memory);
            tell_orders(&shared, &world, &polled);
            take(&shared, &world, polled);
        }
        tell_demand(&shared, &world);
        task::sleep(PERIOD.into()).await;
    }
}

/// Hands a reading of an engine to the orders.
fn tell_orders(shared: &Shared, world: &World, polled: &Polled) {
    let server = world.catalog.servers.get(polled.key);
    if let (Some(server), Some((report, _))) = (server, &polled.report) {
        let orders = shared.coordinator.orders();
        orders.on_report(server.service, polled.key, report, polled.asked_at);
    }
}

/// Tells the orders which models are asked for, since the most urgent is loaded first.
fn tell_demand(shared: &Shared, world: &World) {
    let now = shared.clock.now();
    for (service, pool) in &world.pools {
        let recent: Vec<_> = pool.lock().demand.recent(now).collect();
        let demand = recent.into_iter().filter_map(|(model, tier)| {
            let model = world.catalog.models.get(model)?.id.clone();
            Some(ModelDemand { model, tier })
        });
        let demand: Vec<ModelDemand> = demand.collect();
        shared.coordinator.orders().on_demand(*service, &demand);
    }
}

/// The servers to poll: those that this instance may send to, and all engines of the services for
/// which it sends the orders.
fn targets(shared: &Shared, world: &World, memories: &HashMap<ServerKey, Memory>) -> Vec<Target> {
    let owned = shared.coordinator.orders().owned();
    let mut targets = Vec::new();
    for (&service, pool) in &world.pools {
        let Some(spec) = world.catalog.services.get(service) else {
            continue;
        };
        let keys: Vec<ServerKey> = if owned.contains(&service) {
            spec.servers.clone()
        } else {
            pool.lock().in_reach().collect()
        };
        let known = keys
            .into_iter()
            .filter_map(|key| Some((key, world.catalog.servers.get(key)?)));
        targets.extend(known.map(|(key, server)| Target {
            key,
            address: server.address.to_string(),
            is_engine: spec.kind == Kind::Model,
            memory: memories.get(&key).copied().unwrap_or_default(),
        }));
    }
    targets
}

async fn poll_one(fetch: &HttpFetch, clock: Clock, target: Target) -> Polled {
    let mut polled = Polled {
        key: target.key,
        memory: target.memory,
        report: None,
        asked_at: clock.now(),
        events: None,
    };
    let text = get(fetch, &target.address, "/load".to_owned()).await;
    let Some(report) = text.and_then(|text| LoadReport::parse(&text).ok()) else {
        return polled;
    };
    let age = age(&mut polled.memory, report.at_ms, clock.now());
    polled.report = Some((report, age));
    if target.is_engine {
        let path = format!("/cache-events?after={}", target.memory.last);
        let text = get(fetch, &target.address, path).await;
        polled.events = text.and_then(|text| CacheEvents::parse(&text).ok());
    }
    polled
}

async fn get(fetch: &HttpFetch, address: &str, path: String) -> Option<String> {
    let get = Get {
        address: address.to_owned(),
        path,
        timeout: TIMEOUT,
        limit: LIMIT,
    };
    let reply = fetch.get(get).await.ok()?;
    (reply.status == OK).then_some(reply.body)
}

/// How much older a report is than the freshest one seen. The clocks of server and instance aren't
/// compared: only the differences between reports count.
fn age(memory: &mut Memory, taken: u64, now: Millis) -> Millis {
    let difference = now.0 as i64 - taken as i64;
    let least = memory
        .offset
        .map_or(difference, |offset| offset.min(difference));
    memory.offset = Some(least);
    Millis((difference - least).unsigned_abs())
}

fn take(shared: &Shared, world: &World, mut polled: Polled) {
    let Some(server) = world.catalog.servers.get(polled.key) else {
        return;
    };
    let Some(pool) = world.pools.get(&server.service) else {
        return;
    };
    let loaded = polled.report.as_ref().map(|(report, _)| {
        let models = report.models.iter();
        let orders = shared.coordinator.orders();
        let kept = models.filter(|id| !orders.is_spare(server.service, polled.key, id));
        let known = kept.filter_map(|id| world.catalog.model_of(server.service, id));
        known.collect::<Vec<_>>()
    });
    pool.update(|state, now| {
        if let Some((report, age)) = polled.report.take() {
            let report = routing::LoadReport {
                running: report.running,
                waiting: report.waiting,
                age,
            };
            state.router.load_report(polled.key, report, now);
        }
        if let Some(loaded) = loaded {
            state.set_loaded(polled.key, loaded, now);
        }
        for event in polled
            .events
            .iter()
            .flat_map(|events| &events.events)
            .take(MAX_EVENTS)
        {
            let change = match event.kind {
                CacheKind::Stored => routing::CacheChange::Stored,
                CacheKind::Evicted => routing::CacheChange::Evicted,
                CacheKind::Other => continue,
            };
            let event = routing::CacheEvent {
                seq: event.seq,
                change,
                prefix: event.prefix,
            };
            state.router.cache_event(polled.key, event);
        }
    });
}
