//! The listener for requests that other instances relay.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use async_std::task::JoinHandle;
use crocushold_http::Hangup;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::ServerLimits;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::message::RELAY_HEADER;
use super::message::RelayOutcome;
use super::message::RelayedRequest;
use crate::callers::log_refusal;
use crate::callers::refuse;
use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::intake::Job;
use crate::shared::Shared;

/// Room for the headers of a caller and for the one of the relay, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Fraction of the callers' connections that may be relayed requests.
const CONNECTION_DIVISOR: usize = 4;

/// Status of the response after the other instance has closed the connection. It is never read.
const ENTRY_GONE: StatusCode = StatusCode::RequestTimeout;

/// Starts to accept requests from other instances at `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) async fn start_relay(
    shared: &Arc<Shared>,
    address: SocketAddr,
    max_callers: usize,
) -> io::Result<(ListenerHandle, JoinHandle<()>)> {
    let limits = ListenerLimits {
        max_connections: (max_callers / CONNECTION_DIVISOR).max(1),
        server: ServerLimits {
            head_bytes: MAX_HEAD_BYTES,
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    };
    let listener = Listener::bind(address, limits).await?;
    let handle = listener.handle();
    let shared = shared.clone();
    let run = listener.run(move |request, hangup| answer(shared.clone(), request, hangup));
    Ok((handle, task::spawn(run)))
}

/// Sends a relayed request to a server, and returns the answer with the outcome in a header.
async fn answer(shared: Arc<Shared>, mut request: Request, hangup: Hangup) -> Response {
    let arrived = shared.clock.now();
    let Some(relayed) = RelayedRequest::take(&mut request) else {
        return Response::new(StatusCode::BadRequest);
    };
    if !is_able(&shared, &relayed) {
        return unable(&shared);
    }
    let job = match Job::read_relayed(&shared, &mut request, relayed, arrived).await {
        Ok(job) => job,
        Err(refusal) if refusal.reason.is_lack_of_room() => return unable(&shared),
        Err(refusal) => return with_outcome(refusal.response(), RelayOutcome::Refused),
    };
    // Keeping `request` would hold a second copy of the body.
    drop(request);
    let mut exchange = Exchange::new(&shared, &job);
    let result = exchange.run(&hangup).await;
    match result {
        Ok(mut response) => {
            if let Some(place) = job.place {
                place.hold_until_end(&mut response);
            }
            with_outcome(response, RelayOutcome::Answered)
        }
        Err(Failure::Refused(refusal)) if refusal.reason.is_unserved() => unable(&shared),
        Err(Failure::Refused(refusal)) => {
            log_refusal(
                &shared,
                &exchange.record(),
                refusal.reason.label(),
                &refusal,
            );
            with_outcome(refuse(&shared, &job.id, &refusal), RelayOutcome::Refused)
        }
        Err(Failure::CallerGone) => Response::new(ENTRY_GONE),
    }
}

/// Whether this instance can send the request to a server, as far as it knows.
fn is_able(shared: &Shared, relayed: &RelayedRequest) -> bool {
    let now = shared.clock.now();
    let accepts = !shared.is_stopping() && shared.table().is_some();
    // A server may have been replaced by one of another version.
    let knows_software = relayed.need.software.is_none() || !shared.reads_late();
    accepts && knows_software && shared.fleet().can_send(&relayed.need, now)
}

fn unable(shared: &Shared) -> Response {
    let outcome = RelayOutcome::Unable;
    shared.metrics.count_relayed("in", outcome.label());
    with_outcome(Response::new(StatusCode::ServiceUnavailable), outcome)
}

fn with_outcome(mut response: Response, outcome: RelayOutcome) -> Response {
    response.insert_header(RELAY_HEADER, outcome.label());
    response
}
