//! Load reports and cache events, polled from the backend servers.
//!
//! Both are hints: a server that doesn't answer keeps what is known of it, and its own traffic says
//! whether it still works. Few servers are polled every second, many rarely: see [`plan`].

mod plan;

use std::collections::HashMap;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::ServiceKind;
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
pub(crate) use crate::loads::plan::Cause;
use crate::loads::plan::MOST_WATCHED;
use crate::loads::plan::Plan;
use crate::shared::Shared;
use crate::world::World;

#[cfg(test)]
mod tests;

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
    cause: Cause,
    is_engine: bool,
    memory: Memory,
}

/// What a poll brought.
struct Polled {
    key: ServerKey,
    cause: Cause,
    memory: Memory,
    report: Option<(LoadReport, Millis)>,
    /// When the report was asked for.
    asked_at: Millis,
    events: Option<CacheEvents>,
}

/// Polls the servers in reach, once a second at most, as long as the process runs.
pub(crate) async fn poll(shared: Arc<Shared>) {
    let fetch = HttpFetch::new(shared.client.clone());
    let mut memories: HashMap<ServerKey, Memory> = HashMap::new();
    let mut plan = Plan::default();
    loop {
        let world = shared.world();
        let known = causes(&shared, &world);
        memories.retain(|key, _| known.contains_key(key));
        let targets = targets(&world, &known, &mut plan, &memories, shared.clock.now());
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

/// The servers to poll, and why: those that this instance may send to, and all engines of the
/// services for which it sends the orders.
fn causes(shared: &Shared, world: &World) -> HashMap<ServerKey, Cause> {
    let mut reached = Vec::new();
    for pool in world.pools.values() {
        let state = pool.lock();
        reached.extend(state.in_reach().map(|key| (key, state.poll_cause(key))));
    }
    let watch = reached.len() <= MOST_WATCHED;
    let reached = reached
        .into_iter()
        .map(|(key, cause)| (key, if watch { Cause::Watched } else { cause }));
    let mut causes: HashMap<ServerKey, Cause> = reached.collect();
    for service in shared.coordinator.orders().owned() {
        let Some(service) = world.catalog.services.get(service) else {
            continue;
        };
        for &key in &service.servers {
            let cause = causes.entry(key).or_insert(Cause::Ordered);
            *cause = Cause::Ordered.min(*cause);
        }
    }
    causes
}

/// The servers that are due.
fn targets(
    world: &World,
    causes: &HashMap<ServerKey, Cause>,
    plan: &mut Plan,
    memories: &HashMap<ServerKey, Memory>,
    now: Millis,
) -> Vec<Target> {
    let known: Vec<(ServerKey, Cause)> = causes.iter().map(|(&key, &cause)| (key, cause)).collect();
    let due = plan.round(&known, now).into_iter();
    let targets = due.filter_map(|key| {
        let server = world.catalog.servers.get(key)?;
        Some(Target {
            key,
            address: server.address.to_string(),
            cause: causes[&key],
            is_engine: world.catalog.services[server.service].kind == ServiceKind::Model,
            memory: memories.get(&key).copied().unwrap_or_default(),
        })
    });
    targets.collect()
}

async fn poll_one(fetch: &HttpFetch, clock: Clock, target: Target) -> Polled {
    let mut polled = Polled {
        key: target.key,
        cause: target.cause,
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
    if target.is_engine && target.cause == Cause::Watched {
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
            // A rare report is no help to the choice: in the model one each 5 s made the 99th
            // percentile two times worse than none, as prefixes piled up on homes taken for idle.
            if polled.cause == Cause::Watched {
                state.router.load_report(polled.key, report, now);
            } else {
                state.router.record_occupancy(polled.key, report);
            }
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
