//! Answering callers.

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
use crate::record::Record;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// The status of an answer that nobody reads: the caller closed the connection.
const CALLER_GONE: StatusCode = StatusCode::RequestTimeout;

/// Answers one request.
pub(crate) async fn answer(shared: Arc<Shared>, mut request: Request, hangup: Hangup) -> Response {
    let arrived = shared.clock.now();
    let headers: &Headers = request.as_ref();
    let meta = shared.protocol.request(headers);
    let id = meta.id.clone().unwrap_or_default();
    shared.report.started();
    let mut response = match Job::read(&shared, &mut request, meta, arrived).await {
        Ok(job) => {
            // The job has what is needed of it; a second copy would be held for as long as it waits.
            drop(request);
            exchange(&shared, &job, &hangup).await
        }
        Err(refusal) => {
            note_unread(&shared, &id, &refusal, arrived);
            refuse(&shared, &id, &refusal)
        }
    };
    if shared.is_draining() {
        response.insert_header(CONNECTION, "close");
    }
    response
}

async fn exchange(shared: &Arc<Shared>, job: &Job, hangup: &Hangup) -> Response {
    let mut exchange = Exchange::new(shared, job);
    match exchange.run(hangup).await {
        Ok(response) => response,
        Err(Failure::Refused(refusal)) => {
            note(shared, &exchange.record(), refusal.reason.label(), &refusal);
            refuse(shared, &job.id, &refusal)
        }
        Err(Failure::CallerGone) => {
            let record = exchange.record();
            let report = &shared.report;
            report.ended(record.repeat.label(), record.priority, "caller-gone");
            count_unanswered(shared, &record, "caller-gone");
            info!("{}", record.ended(shared, "caller-gone"));
            Response::new(CALLER_GONE)
        }
    }
}

fn refuse(shared: &Shared, id: &str, refusal: &Refusal) -> Response {
    let mut response = refusal.response();
    if !id.is_empty() {
        shared.protocol.set_request_id(response.as_mut(), id);
    }
    response
}

fn note(shared: &Shared, record: &Record, label: &str, refusal: &Refusal) {
    let report = &shared.report;
    report.ended(record.repeat.label(), record.priority, label);
    count_unanswered(shared, record, label);
    let event = record
        .ended(shared, label)
        .with("status", refusal.status())
        .with("retry-after", refusal.retry_after.unwrap_or(Millis::ZERO));
    info!("{event}");
}

/// Counts a request that ended without an answer, if it is a stream.
fn count_unanswered(shared: &Shared, record: &Record, label: &str) {
    if record.repeat.is_stream() {
        shared.report.unanswered(record.priority, label);
    }
}

fn note_unread(shared: &Shared, id: &str, refusal: &Refusal, arrived: Millis) {
    let label = refusal.reason.label();
    shared.report.ended("none", u8::MAX, label);
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
