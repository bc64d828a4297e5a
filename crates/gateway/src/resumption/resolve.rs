//! The software version that a request requires because it takes up a stream.

use std::sync::Arc;

use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;
use log::info;

use super::message::StreamOrigin;
use super::shell::Found;
use crate::fleet::Choice;
use crate::intake::Job;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routes::Repeat;
use crate::shared::Shared;

/// `Retry-After` for a stream whose origin nobody knows. An instance that knows it may have been too
/// busy to reply.
const UNKNOWN_RETRY: Millis = Millis(300);

/// Requires the software version that began the stream which the request takes up, if it does.
///
/// # Errors
///
/// Returns the refusal if the version isn't known. Nothing has run then.
pub(crate) async fn require_origin(shared: &Arc<Shared>, job: &mut Job) -> Result<(), Refusal> {
    if !takes_up_stream(job) {
        return Ok(());
    }
    let now = shared.clock.now();
    let found = match job.stream {
        Some(key) => shared.origins.find(key, now).await,
        None => Found::Unknown,
    };
    let only_version = match found {
        Found::Unknown => only_version(shared, &job.need.service),
        Found::Here(_) | Found::Elsewhere(_) => None,
    };
    let (software, source) = match found {
        Found::Here(software) => (Some(software), "here"),
        Found::Elsewhere(software) => (Some(software), "instance"),
        Found::Unknown if only_version.is_some() => (only_version, "only-version"),
        Found::Unknown => (None, "unknown"),
    };
    shared.metrics.count_resumption(source);
    let name = software.and_then(|key| shared.fleet().software_name(key));
    let event = Event::new("stream-taken-up")
        .with("request", &job.id)
        .with("software", name.as_deref().unwrap_or("unlisted"))
        .with("source", source)
        .with("after", shared.clock.now().since(now));
    info!("{event}");
    job.need.software = software;
    match software {
        Some(_) => Ok(()),
        None => Err(Refusal::later(Reason::UnknownOrigin, UNKNOWN_RETRY)),
    }
}

/// Records the software version that begins the stream of a request, or goes on with it.
pub(crate) fn record_origin(shared: &Shared, job: &Job, choice: &Choice) {
    let Some(key) = job.stream else {
        return;
    };
    let now = shared.clock.now();
    let origin = StreamOrigin {
        key,
        software: SoftwareKey::new(&choice.software),
        remaining: job.deadline.since(now),
    };
    shared.origins.record(origin, now);
}

/// Whether a request takes up a stream. A caller may name the stream alone, or the last event alone
/// where the route's streams may be taken up.
fn takes_up_stream(job: &Job) -> bool {
    let Some(resumption) = &job.resumption else {
        return false;
    };
    let has_beginning = resumption.first_attempt.is_some();
    job.repeat == Repeat::ResumableStream || (job.repeat.is_stream() && has_beginning)
}

/// The software version of all servers of a service that have been listed for as long as a stream may
/// last, if this instance has seen all of that time and there is one version only.
fn only_version(shared: &Shared, service: &str) -> Option<SoftwareKey> {
    let now = shared.clock.now();
    let span = shared.table()?.longest_stream();
    let seen = shared.directory().contact_age(now)?;
    if seen < span {
        return None;
    }
    shared.fleet().only_software(service, span, now)
}
