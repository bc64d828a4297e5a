//! The software version that a request requires because it takes up a stream.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_routing::SoftwareKey;
use log::info;

use super::message::OriginQuery;
use super::message::SeenSoftware;
use super::message::StreamKey;
use super::message::StreamOrigin;
use super::shell::Found;
use crate::fleet::Choice;
use crate::fleet::short_hash;
use crate::intake::Job;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routes::Repeat;
use crate::shared::Shared;

/// `Retry-After` for a stream whose origin nobody knows. An instance that knows it may have been too
/// busy to reply.
const UNKNOWN_RETRY: Millis = Millis(300);

/// How long a stream that is taken up waits for the store to confirm what this instance has read. After a pause of the
/// process the store answers at once.
const MAX_READ_WAIT: Millis = Millis(300);

/// The part of the time until its deadline that it waits at most, as a divisor.
const READ_WAIT_DIVISOR: u64 = 4;

/// Interval of the checks in that time.
const READ_CHECK_INTERVAL: Millis = Millis(20);

/// Requires the software version that began the stream which the request takes up, if it does.
///
/// # Errors
///
/// Returns the refusal if the version isn't known. Nothing has run then.
pub(crate) async fn require_origin(shared: &Arc<Shared>, job: &mut Job) -> Result<(), Refusal> {
    let now = shared.clock.now();
    let takes_up = takes_up_stream(job);
    if takes_up || job.stream.is_some() {
        shared.origins.record_span(job.held_until.since(now), now);
    }
    if !takes_up {
        return Ok(());
    }
    let (software, source) = if knows_versions(shared, job).await {
        find_origin(shared, job, now).await
    } else {
        (None, "late")
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

/// Records the software version that begins the stream of a request, or goes on with it, unless the answer may come from a
/// process that has replaced the chosen one.
pub(crate) fn record_origin(shared: &Shared, job: &Job, choice: &Choice) {
    let Some(key) = job.stream else {
        return;
    };
    if !shared.fleet().knows_software(choice) {
        return;
    }
    let now = shared.clock.now();
    let origin = StreamOrigin {
        key,
        software: SoftwareKey::new(&choice.software),
        remaining: job.held_until.since(now),
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

/// Whether this instance knows which version each server has. One that reads the store later than others may take a
/// process that was replaced under its name for the former one. While nobody reads the store, no replacement is known to
/// anyone, and streams go on.
async fn knows_versions(shared: &Shared, job: &Job) -> bool {
    let now = shared.clock.now();
    let until = now + MAX_READ_WAIT.min(Millis(job.deadline.since(now).0 / READ_WAIT_DIVISOR));
    while shared.reads_late() {
        if shared.clock.now() >= until {
            let name = StreamKey::new(job.account.as_deref(), &job.id);
            let service = short_hash(&job.need.service);
            return shared.origins.is_store_away(name, service).await;
        }
        task::sleep(READ_CHECK_INTERVAL.into()).await;
    }
    true
}

/// The software version that began the stream of a request, and how that is known.
async fn find_origin(
    shared: &Shared,
    job: &Job,
    now: Millis,
) -> (Option<SoftwareKey>, &'static str) {
    let known = job.stream.and_then(|key| shared.origins.known(key, now));
    if known.is_some() {
        return (known, "here");
    }
    let service = short_hash(&job.need.service);
    let mut seen = vec![seen_software(shared, service)];
    let needs_others = job.stream.is_some() || !seen[0].is_complete();
    if needs_others {
        let name = StreamKey::new(job.account.as_deref(), &job.id);
        match shared.origins.find(job.stream, name, service).await {
            Found::Elsewhere(software) => return (Some(software), "instance"),
            Found::Unknown(others) => seen.extend(others),
            Found::Unsure => return (None, "unsure"),
        }
    }
    match SeenSoftware::only_version(&seen) {
        Some(software) => (Some(software), "only-version"),
        None => (None, "unknown"),
    }
}

/// The software versions of a service that this instance has seen.
fn seen_software(shared: &Shared, service: u32) -> SeenSoftware {
    let now = shared.clock.now();
    let Some(table) = shared.table() else {
        return SeenSoftware::default();
    };
    let contact = shared.directory().contact_age(now);
    let span = shared.origins.longest_span(now);
    SeenSoftware {
        span: span.max(table.longest_stream()),
        contact: contact.unwrap_or(Millis::ZERO),
        latest: shared.fleet().latest_software(service, now),
    }
}

/// Replies to another instance's question for the origin of a stream.
pub(crate) fn reply_origin(shared: &Shared, from: SocketAddr, query: OriginQuery) {
    let seen = seen_software(shared, query.service);
    shared.origins.reply(from, query, seen, shared.clock.now());
}
