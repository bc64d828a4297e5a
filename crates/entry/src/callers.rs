//! Handles the requests of callers.

use std::sync::Arc;

use crocushold_base::AccountKey;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_config::Credential;
use crocushold_http::Hangup;
use crocushold_http::request_path;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use log::debug;
use serde::Serialize;

use crate::active_config::ActiveConfig;
use crate::connections::Connection;
use crate::decode::RequestDecoder;
use crate::decode::api_key;
use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// Status of a response that nobody reads because the caller closed the connection.
const CALLER_GONE: StatusCode = StatusCode::RequestTimeout;

/// Retry delay for an account that is at its connection limit.
const CONNECTIONS_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Handles one request of a caller.
pub(crate) async fn handle(
    shared: &Arc<Shared>,
    connection: &Connection,
    request: Request,
    hangup: Hangup,
) -> Response {
    let id = shared.request_id();
    let mut response = match serve(shared, connection, request, &hangup, &id).await {
        Ok(response) => response,
        Err(Failure::Refused(refusal)) => {
            log_refusal(&id, &refusal);
            refusal.into_response()
        }
        Err(Failure::CallerGone) => Response::new(CALLER_GONE),
    };
    response.insert_header("x-request-id", &id);
    response
}

/// Logged at level `debug`, so that a flood of refusals doesn't become a flood of log lines.
fn log_refusal(id: &str, refusal: &Refusal) {
    let event = Event::new("refused")
        .with("request", id)
        .with("reason", refusal.reason.as_str())
        .with("ran", refusal.ran.as_str())
        .with("message", &refusal.message);
    debug!("{event}");
}

async fn serve(
    shared: &Arc<Shared>,
    connection: &Connection,
    mut request: Request,
    hangup: &Hangup,
    id: &str,
) -> Result<Response, Failure> {
    let arrived = shared.clock.now();
    let config = shared.config();
    if config.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotServing, "no configuration is in force yet");
        return Err(Failure::Refused(refusal.retry_after(Millis::from_secs(1))));
    }
    // Authenticate before the body is read: an unauthenticated caller must not make the instance
    // buffer megabytes.
    let account = authenticate(&config, connection, &request).map_err(Failure::Refused)?;
    if request.method() == Method::Get && request_path(&request) == "/v1/models" {
        return Ok(list_models(&config, account));
    }
    let decoder = RequestDecoder {
        config: &config,
        account,
        memory: &shared.memory,
        limits: &shared.settings.limits,
        arrived,
    };
    let job = decoder
        .decode(&mut request)
        .await
        .map_err(Failure::Refused)?;
    // The job contains everything that is needed of the request. Keeping it would hold a second
    // copy for as long as the job is queued.
    drop(request);
    let exchange = Exchange {
        client: &shared.client,
        coordinator: &shared.coordinator,
        clock: shared.clock,
        pool: config.pools[&job.resolved.service].clone(),
        metrics: config.classes[&job.resolved.class].clone(),
        id,
        arrived,
        job,
    };
    exchange.run(hangup).await
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

impl ModelEntry<'_> {
    fn new(id: &str) -> ModelEntry<'_> {
        ModelEntry {
            id,
            object: "model",
            owned_by: "crocushold",
        }
    }
}

/// Returns the account of the request's API key, and counts the connection for that account from
/// now on.
fn authenticate(
    config: &ActiveConfig,
    connection: &Connection,
    request: &Request,
) -> Result<AccountKey, Refusal> {
    let credential = Credential::of(api_key(request)?);
    let unknown = || Refusal::from_config(config::Refusal::UnknownKey);
    let account = config.catalog.account_of(&credential).ok_or_else(unknown)?;
    if !connection.count_for(account) {
        let text = "the account holds as many connections as it may";
        let refusal = Refusal::not_run(Reason::ConnectionsLimited, text);
        return Err(refusal.retry_after(CONNECTIONS_RETRY_AFTER));
    }
    Ok(account)
}

/// Lists the models that the caller's account may use.
fn list_models(config: &ActiveConfig, account: AccountKey) -> Response {
    let list = ModelList {
        object: "list",
        data: config
            .models_of(account)
            .into_iter()
            .map(ModelEntry::new)
            .collect(),
    };
    let mut response = Response::new(200);
    response.set_body(serde_json::to_string(&list).expect("strings can always be serialized"));
    response.insert_header("content-type", "application/json");
    response
}
