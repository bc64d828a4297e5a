//! The operator's endpoints: health, readiness, metrics and status.

use std::sync::Arc;

use async_std::future::timeout;
use crocushold_base::Millis;
use crocushold_http::request_path;
use crocushold_metrics::Window;
use crocushold_metrics::status::ClassStatus;
use crocushold_metrics::status::ConfigStatus;
use crocushold_metrics::status::InstanceState;
use crocushold_metrics::status::LimitStatus;
use crocushold_metrics::status::PartStatus;
use crocushold_metrics::status::PeerStatus;
use crocushold_metrics::status::ServerStatus;
use crocushold_metrics::status::Status;
use crocushold_metrics::status::WindowStatus;
use crocushold_peers as peers;
use crocushold_peers::PeerSyncStatus;
use crocushold_peers::SyncStatus;
use crocushold_routing as routing;
use crocushold_routing::State;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::active_config::ActiveConfig;
use crate::shared::Shared;

/// Timeout for the sync status of the peer node. Without it, the page is still useful.
const SYNC_STATUS_TIMEOUT: Millis = Millis::from_secs(1);

/// Handles a request on the operator's address.
pub(crate) async fn handle(shared: &Arc<Shared>, request: &Request) -> Response {
    #[cfg(feature = "failpoints")]
    if let Some(response) = crate::failpoint::command(request) {
        return response;
    }
    if request.method() != Method::Get {
        return text(StatusCode::MethodNotAllowed, "only GET\n");
    }
    match request_path(request) {
        "/health" => health(shared),
        "/ready" => ready(shared),
        "/metrics" => metrics(shared).await,
        "/status" => status_json(shared).await,
        _ => text(
            StatusCode::NotFound,
            "try /health, /ready, /metrics or /status\n",
        ),
    }
}

/// The health check of the balancer.
///
/// It fails at the start of a graceful shutdown, so that the balancer stops sending requests while
/// they are still served. It also fails before a configuration is active, since the instance would
/// refuse all requests.
fn health(shared: &Shared) -> Response {
    match shared.state() {
        InstanceState::Serving => text(StatusCode::Ok, "ok\n"),
        InstanceState::Starting => text(StatusCode::ServiceUnavailable, "starting\n"),
        InstanceState::Draining => text(StatusCode::ServiceUnavailable, "draining\n"),
    }
}

fn ready(shared: &Shared) -> Response {
    match shared.state() {
        InstanceState::Serving => text(StatusCode::Ok, "serving\n"),
        InstanceState::Starting => text(StatusCode::ServiceUnavailable, "no configuration yet\n"),
        InstanceState::Draining => text(StatusCode::ServiceUnavailable, "draining\n"),
    }
}

fn text(status: StatusCode, body: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body.into());
    response
}

async fn metrics(shared: &Shared) -> Response {
    // Without a reply, the metric keeps its last value.
    if let Some(sync_status) = sync_status(shared).await {
        shared.metrics.set_confirmed_age(sync_status.confirmed_age);
    }
    text(StatusCode::Ok, shared.metrics.render(shared.clock.now()))
}

/// Sync status of the peer node; `None` if it doesn't reply in time.
async fn sync_status(shared: &Shared) -> Option<SyncStatus> {
    let peers = shared.peers()?;
    let reply = timeout(SYNC_STATUS_TIMEOUT.into(), peers.sync_status()).await;
    reply.ok().flatten()
}

async fn status_json(shared: &Shared) -> Response {
    let sync_status = sync_status(shared).await.unwrap_or_default();
    let status = status(shared, sync_status);
    match serde_json::to_string_pretty(&status) {
        Ok(body) => {
            let mut response = text(StatusCode::Ok, body);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(error) => text(StatusCode::InternalServerError, error.to_string()),
    }
}

fn status(shared: &Shared, sync_status: SyncStatus) -> Status {
    let config = shared.config();
    Status {
        instance: shared.settings.id.clone(),
        zone: shared.settings.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        state: shared.state(),
        uptime_ms: shared.clock.now().0,
        config: config_status(shared, &config, &sync_status),
        peers: sync_status.peers.into_iter().map(peer_status).collect(),
        classes: class_statuses(shared, &config),
        servers: server_statuses(&config),
        limits: limit_statuses(shared),
    }
}

fn config_status(shared: &Shared, config: &ActiveConfig, sync_status: &SyncStatus) -> ConfigStatus {
    let parts = shared.parts().into_iter().map(|part| PartStatus {
        team: part.team,
        revision: part.active,
        published: part.published,
        findings: part.findings,
    });
    ConfigStatus {
        revision: config.revision,
        newest_revision: sync_status.newest_revision.max(config.revision),
        confirmed_ms: sync_status.confirmed_age.map(|age| age.0),
        parts: parts.collect(),
    }
}

fn peer_status(peer: PeerSyncStatus) -> PeerStatus {
    PeerStatus {
        instance: peer.id.to_string(),
        zone: peer.zone,
        standing: match peer.status {
            peers::Status::Suspect => "suspect",
            _ => "live",
        }
        .to_owned(),
        revision: peer.revision,
        heard_ms: peer.heard_age.map(|age| age.0),
    }
}

fn limit_statuses(shared: &Shared) -> Vec<LimitStatus> {
    let mut all = shared.coordinator.limits().statuses();
    all.push(shared.coordinator.orders().status());
    all
}

fn class_statuses(shared: &Shared, config: &ActiveConfig) -> Vec<ClassStatus> {
    let now = shared.clock.now();
    let classes = config.catalog.classes.iter();
    let mut all: Vec<ClassStatus> = classes
        .filter_map(|(key, class)| {
            let metrics = config.classes.get(&key)?;
            let windows = Window::ALL.into_iter().map(|window| WindowStatus {
                window,
                counts: metrics.window(now, window),
            });
            Some(ClassStatus {
                class: class.name.clone(),
                priority: class.priority.tier().into(),
                queued: metrics.queue_length(),
                running: metrics.running_count(),
                objective: class.objective.as_fraction(),
                windows: windows.collect(),
            })
        })
        .collect();
    all.sort_by(|a, b| a.class.cmp(&b.class));
    all
}

fn server_statuses(config: &ActiveConfig) -> Vec<ServerStatus> {
    let mut all = Vec::new();
    for (service, pool) in &config.pools {
        let state = pool.lock();
        let Some(service) = config.catalog.services.get(*service) else {
            continue;
        };
        for &key in &service.servers {
            let Some(standing) = state.router.standing(key) else {
                continue;
            };
            let server = &config.catalog.servers[key];
            all.push(ServerStatus {
                server: server.name.clone(),
                service: service.name.clone(),
                zone: server.zone.clone(),
                usable: matches!(standing.state, State::Serving | State::Recovering),
                standing: standing_name(standing.state).to_owned(),
                reason: standing_reason(&standing),
                running: standing.in_flight.into(),
            });
        }
    }
    all.sort_by(|a, b| a.server.cmp(&b.server));
    all
}

fn standing_name(state: State) -> &'static str {
    match state {
        State::Serving => "in",
        State::Recovering => "recovering",
        State::Out { .. } => "ejected",
        State::Leaving => "leaving",
        State::Vanished => "vanished",
        State::Removed => "removed",
    }
}

fn standing_reason(standing: &routing::Standing) -> String {
    match standing.state {
        State::Serving if standing.borrowed => {
            "takes one request at a time, outside this instance's subset".to_owned()
        }
        State::Serving => "takes its full share".to_owned(),
        State::Recovering => "takes a growing share after it was out".to_owned(),
        State::Out { fault, until } => format!("{fault:?}, tried again at {until}").to_lowercase(),
        State::Leaving => "the instance list says that it is leaving".to_owned(),
        State::Vanished => "the instance list no longer names it".to_owned(),
        State::Removed => "the configuration no longer names it".to_owned(),
    }
}
