//! Polls load reports and cache events from the backend servers.
//!
//! Both are hints. If a server doesn't reply, its last known state is kept, and its own traffic
//! shows whether it still works. A small set of servers is polled every second, a large one rarely;
//! see [`schedule`].

mod schedule;

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
use crocushold_platform::Target;
use crocushold_platform::wire::CacheEvents;
use crocushold_platform::wire::CacheKind;
use crocushold_platform::wire::LoadReport;
use crocushold_routing as routing;
use futures::StreamExt;
use futures::stream;

use crate::active_config::ActiveConfig;
use crate::coordination::ModelDemand;
use crate::polling::schedule::MAX_SELECTION_POLLED;
pub(crate) use crate::polling::schedule::PollReason;
use crate::polling::schedule::PollSchedule;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Interval between rounds of polls.
const PERIOD: Millis = Millis::from_secs(1);

/// Timeout of one poll.
const POLL_TIMEOUT: Millis = Millis(800);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 32;

/// Maximum number of cache events taken from one response. The rest becomes a gap, which the router
/// tolerates.
const MAX_EVENTS: usize = 1024;

const OK: u16 = 200;

/// State kept for one server between polls.
#[derive(Clone, Copy, Debug, Default)]
struct PollState {
    /// The smallest difference seen between the local clock and the server's, which belongs to the
    /// freshest report.
    offset: Option<i64>,
    /// Sequence number of the last cache event.
    last: u64,
}

/// A server to poll.
#[derive(Clone, Debug)]
struct PollTarget {
    key: ServerKey,
    address: String,
    reason: PollReason,
    is_engine: bool,
    poll_state: PollState,
}

/// The result of a poll.
struct PollResult {
    key: ServerKey,
    reason: PollReason,
    poll_state: PollState,
    report: Option<(LoadReport, Millis)>,
    /// When the report was requested.
    asked_at: Millis,
    events: Option<CacheEvents>,
}

/// Polls the servers in reach, at most once a second, as long as the process runs.
pub(crate) async fn poll(shared: Arc<Shared>) {
    let fetch = HttpFetch::new(shared.client.clone());
    let mut poll_states: HashMap<ServerKey, PollState> = HashMap::new();
    let mut schedule = PollSchedule::default();
    loop {
        let config = shared.config();
        let known = poll_reasons(&shared, &config);
        poll_states.retain(|key, _| known.contains_key(key));
        let targets = targets(
            &config,
            &known,
            &mut schedule,
            &poll_states,
            shared.clock.now(),
        );
        let mut polls = stream::iter(targets)
            .map(|target| poll_one(&fetch, shared.clock, target))
            .buffer_unordered(MAX_CONCURRENT_POLLS);
        while let Some(polled) = polls.next().await {
            poll_states.insert(polled.key, polled.poll_state);
            report_to_orders(&shared, &config, &polled);
            apply_result(&shared, &config, polled);
        }
        report_demand(&shared, &config);
        task::sleep(PERIOD.into()).await;
    }
}

/// Passes an engine's load report to the order planners.
fn report_to_orders(shared: &Shared, config: &ActiveConfig, polled: &PollResult) {
    let server = config.catalog.servers.get(polled.key);
    if let (Some(server), Some((report, _))) = (server, &polled.report) {
        let orders = shared.coordinator.orders();
        orders.on_report(server.service, polled.key, report, polled.asked_at);
    }
}

/// Reports which models are requested, since the models of the highest-priority requests are loaded
/// first.
fn report_demand(shared: &Shared, config: &ActiveConfig) {
    let now = shared.clock.now();
    for (service, pool) in &config.pools {
        let recent: Vec<_> = pool.lock().demand.recent(now).collect();
        let demand = recent.into_iter().filter_map(|(model, tier)| {
            let model = config.catalog.models.get(model)?.id.clone();
            Some(ModelDemand { model, tier })
        });
        let demand: Vec<ModelDemand> = demand.collect();
        shared.coordinator.orders().on_demand(*service, &demand);
    }
}

/// Servers to poll and the reason: the servers that this instance may send to, and all engines of
/// the services whose orders it sends.
fn poll_reasons(shared: &Shared, config: &ActiveConfig) -> HashMap<ServerKey, PollReason> {
    let mut reached = Vec::new();
    for pool in config.pools.values() {
        let state = pool.lock();
        reached.extend(state.in_reach().map(|key| (key, state.poll_reason(key))));
    }
    let poll_for_selection = reached.len() <= MAX_SELECTION_POLLED;
    let reached = reached.into_iter().map(|(key, reason)| {
        (
            key,
            if poll_for_selection {
                PollReason::Selection
            } else {
                reason
            },
        )
    });
    let mut poll_reasons: HashMap<ServerKey, PollReason> = reached.collect();
    for service in shared.coordinator.orders().owned() {
        let Some(service) = config.catalog.services.get(service) else {
            continue;
        };
        for &key in &service.servers {
            let reason = poll_reasons.entry(key).or_insert(PollReason::Orders);
            *reason = PollReason::Orders.min(*reason);
        }
    }
    poll_reasons
}

/// Returns the servers that are due.
fn targets(
    config: &ActiveConfig,
    poll_reasons: &HashMap<ServerKey, PollReason>,
    schedule: &mut PollSchedule,
    poll_states: &HashMap<ServerKey, PollState>,
    now: Millis,
) -> Vec<PollTarget> {
    let known: Vec<(ServerKey, PollReason)> = poll_reasons
        .iter()
        .map(|(&key, &reason)| (key, reason))
        .collect();
    let due = schedule.round(&known, now).into_iter();
    let targets = due.filter_map(|key| {
        let server = config.catalog.servers.get(key)?;
        Some(PollTarget {
            key,
            address: server.address.to_string(),
            reason: poll_reasons[&key],
            is_engine: config.catalog.services[server.service].kind == ServiceKind::Model,
            poll_state: poll_states.get(&key).copied().unwrap_or_default(),
        })
    });
    targets.collect()
}

async fn poll_one(fetch: &HttpFetch, clock: Clock, target: PollTarget) -> PollResult {
    let mut polled = PollResult {
        key: target.key,
        reason: target.reason,
        poll_state: target.poll_state,
        report: None,
        asked_at: clock.now(),
        events: None,
    };
    let text = get(fetch, &target.address, Target::new("/load")).await;
    let Some(report) = text.and_then(|text| LoadReport::parse(&text).ok()) else {
        return polled;
    };
    let age = age(&mut polled.poll_state, report.at_ms, clock.now());
    polled.report = Some((report, age));
    if target.is_engine && target.reason == PollReason::Selection {
        let cache_events = Target::new("/cache-events").parameter("after", target.poll_state.last);
        let text = get(fetch, &target.address, cache_events).await;
        polled.events = text.and_then(|text| CacheEvents::parse(&text).ok());
    }
    polled
}

async fn get(fetch: &HttpFetch, address: &str, target: Target) -> Option<String> {
    let get = Get {
        address: address.to_owned(),
        target,
        timeout: POLL_TIMEOUT,
        limit: MAX_RESPONSE_BYTES,
        ..Get::default()
    };
    let reply = fetch.get(get).await.ok()?;
    (reply.status == OK).then_some(reply.body)
}

/// Age of a report relative to the freshest one seen. The clocks of server and instance aren't
/// compared; only the differences between reports count.
fn age(poll_state: &mut PollState, taken: u64, now: Millis) -> Millis {
    let difference = now.0 as i64 - taken as i64;
    let least = poll_state
        .offset
        .map_or(difference, |offset| offset.min(difference));
    poll_state.offset = Some(least);
    Millis((difference - least).unsigned_abs())
}

fn apply_result(shared: &Shared, config: &ActiveConfig, mut polled: PollResult) {
    let Some(server) = config.catalog.servers.get(polled.key) else {
        return;
    };
    let Some(pool) = config.pools.get(&server.service) else {
        return;
    };
    let loaded = polled.report.as_ref().map(|(report, _)| {
        let models = report.models.iter();
        let orders = shared.coordinator.orders();
        let kept = models.filter(|id| !orders.is_surplus(server.service, polled.key, id));
        let known = kept.filter_map(|id| config.catalog.model_of(server.service, id));
        known.collect::<Vec<_>>()
    });
    pool.update(|state, now| {
        if let Some((report, age)) = polled.report.take() {
            let report = routing::LoadReport {
                running: report.running,
                waiting: report.waiting,
                age,
                ..routing::LoadReport::default()
            };
            // Infrequent reports don't help the selection. In the simulation, one report every 5 s
            // made the 99th percentile twice as bad as none, since prefixes piled up on their
            // preferred servers, which seemed idle.
            if polled.reason == PollReason::Selection {
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
