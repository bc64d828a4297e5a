//! Handling of requests on the callers' listener.

use std::sync::Arc;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_http::Hangup;
use http_types::Headers;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use log::info;

use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::intake::Job;
use crate::quarantine::part_names;
use crate::record::RequestRecord;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::resumption::require_origin;
use crate::shared::Shared;

/// Status of the response after the caller has closed the connection. It is never read.
const CALLER_GONE: StatusCode = StatusCode::RequestTimeout;

/// Answers one request.
pub(crate) async fn answer(shared: Arc<Shared>, mut request: Request, hangup: Hangup) -> Response {
    let arrived = shared.clock.now();
    let headers: &Headers = request.as_ref();
    let meta = shared.protocol.request(headers);
    let id = meta.id.clone().unwrap_or_default();
    shared.metrics.request_started();
    let mut response = match Job::read(&shared, &mut request, meta, arrived).await {
        Ok(mut job) => {
            // `job` owns everything that is still needed. Keeping `request` would hold a second
            // copy of the body for as long as the job waits.
            drop(request);
            let mut response = exchange(&shared, &mut job, &hangup).await;
            if let Some(place) = job.place {
                place.hold_until_end(&mut response);
            }
            response
        }
        Err(refusal) => {
            log_unread_request(&shared, &id, &refusal, arrived);
            refuse(&shared, &id, &refusal)
        }
    };
    if shared.is_draining() {
        response.insert_header(CONNECTION, "close");
    }
    response
}

async fn exchange(shared: &Arc<Shared>, job: &mut Job, hangup: &Hangup) -> Response {
    let required = require_origin(shared, job).await;
    let mut exchange = Exchange::new(shared, job);
    let result = match required {
        Ok(()) => {
            let answered = shared.unless_ending(exchange.run(hangup)).await;
            answered.unwrap_or_else(|| Err(Failure::Refused(Refusal::new(Reason::Stopped))))
        }
        Err(refusal) => Err(Failure::Refused(refusal)),
    };
    match result {
        Ok(response) => response,
        Err(Failure::Refused(refusal)) => {
            log_refusal(shared, &exchange.record(), refusal.reason.label(), &refusal);
            refuse(shared, &job.id, &refusal)
        }
        Err(Failure::CallerGone) => {
            let record = exchange.record();
            let metrics = &shared.metrics;
            metrics.request_ended(record.repeat.label(), record.priority, "caller-gone");
            count_unanswered(shared, &record, "caller-gone");
            info!("{}", record.end_event(shared, "caller-gone"));
            Response::new(CALLER_GONE)
        }
    }
}

pub(crate) fn refuse(shared: &Shared, id: &str, refusal: &Refusal) -> Response {
    let mut response = refusal.response();
    if !id.is_empty() {
        shared.protocol.set_request_id(response.as_mut(), id);
    }
    response
}

pub(crate) fn log_refusal(shared: &Shared, record: &RequestRecord, label: &str, refusal: &Refusal) {
    if record.entry.is_some() {
        shared.metrics.count_relayed("in", label);
    } else {
        let metrics = &shared.metrics;
        metrics.request_ended(record.repeat.label(), record.priority, label);
        count_unanswered(shared, record, label);
    }
    let mut event = record
        .end_event(shared, label)
        .with("status", refusal.status())
        .with("retry-after", refusal.retry_after.unwrap_or(Millis::ZERO));
    if refusal.reason == Reason::Quarantined {
        event = event.with("parts", part_names(shared, &record.content));
    }
    info!("{event}");
}

/// Counts a stream that ended without an answer.
fn count_unanswered(shared: &Shared, record: &RequestRecord, label: &str) {
    if record.repeat.is_stream() {
        shared.metrics.count_unanswered(record.priority, label);
    }
}

fn log_unread_request(shared: &Shared, id: &str, refusal: &Refusal, arrived: Millis) {
    let label = refusal.reason.label();
    shared.metrics.request_ended("none", u8::MAX, label);
    let version = shared.table().map_or(0, |table| table.version());
    let event = Event::new("request-ended")
        .with("request", id)
        .with("config", version)
        .with("knowledge-age", shared.knowledge_age())
        .with("outcome", label)
        .with("status", refusal.status())
        .with("total", shared.clock.now().since(arrived));
    info!("{event}");
}
