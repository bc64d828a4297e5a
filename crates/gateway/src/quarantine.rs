//! Evidence that servers have ended, and logging of the resulting quarantine.

use std::sync::Arc;
use std::sync::MutexGuard;

use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_http::refuses_connections;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::RequestContent;
use crocushold_routing::Run;
use crocushold_routing::ServedContent;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;
use log::info;
use log::warn;

use crate::fleet::Choice;
use crate::reach::is_path_open;
use crate::reach::refused;
use crate::shared::Shared;

/// Evidence that a server's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Its address refuses connections.
    Refused,
    /// Its entry was removed although it hadn't announced that it leaves.
    Unlisted,
    /// Another process has started under its name.
    Restarted,
}

impl Evidence {
    pub(crate) fn label(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Unlisted => "unlisted",
            Evidence::Restarted => "restarted",
        }
    }
}

/// A request that a server cut.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CutRun<'a> {
    /// The request's ID.
    pub(crate) request: &'a str,
    pub(crate) content: &'a RequestContent,
    /// The answer, if it had begun.
    pub(crate) answering: Option<Answering>,
}

/// An answer that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answering {
    /// When its head arrived.
    pub(crate) since: Millis,
    /// When the first piece of its body arrived.
    pub(crate) writing: Option<Millis>,
    /// Number of events that have arrived.
    pub(crate) events: u64,
}

/// Records that a server cut a request. A reset or a lost answer looks the same as the end of the
/// process, so the server is probed: if the process is alive, it still accepts connections. If no
/// other server does either, the network path was lost, which says nothing about the server.
pub(crate) fn run_cut(shared: &Arc<Shared>, choice: &Choice, cut: &CutRun<'_>) {
    // A planned shutdown cuts the remaining requests at the end of its grace period.
    if shared.fleet().serving(&choice.id) != Some(choice.incarnation) {
        return;
    }
    let now = shared.clock.now();
    log_cut(shared, choice, cut, now);
    let run = Run {
        content: cut.content.clone(),
        server: choice.incarnation,
        sent: choice.chosen,
        began: cut.answering.map(|answering| answering.since),
        writing: cut.answering.and_then(|answering| answering.writing),
    };
    let mut quarantine = shared.quarantine();
    let needs_probe = quarantine.run_cut(run, now);
    log_quarantined(shared, quarantine);
    if needs_probe {
        task::spawn(probe_server(shared.clone(), choice.clone()));
    }
}

/// Logs that a quarantined request is sent to find out whether its content ends servers.
pub(crate) fn log_trial(shared: &Shared, request: &str, content: &RequestContent) {
    let event = Event::new("content-tried")
        .with("request", request)
        .with("content", shared.content_names.pseudonym(content.request));
    info!("{event}");
}

/// Records that a request was answered completely, from `began` on.
pub(crate) fn served(shared: &Shared, content: &RequestContent, began: Millis) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    if quarantine.served(content, began, now) {
        let content = shared.content_names.pseudonym(content.request);
        let event = Event::new("content-cleared")
            .with("content", content)
            .with("source", "answer");
        info!("{event}");
    }
    log_quarantined(shared, quarantine);
}

/// Records that a server goes on with an answer that it began to write at `began`.
pub(crate) fn parts_survived(shared: &Shared, content: &RequestContent, began: Millis) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    quarantine.parts_survived(content, began, now);
    log_quarantined(shared, quarantine);
}

/// Records evidence that a server's process has ended unexpectedly.
pub(crate) fn server_ended(shared: &Shared, id: &str, server: Incarnation, evidence: Evidence) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    let suspects = quarantine.server_ended(server, now);
    // Ends of servers without requests of this instance are logged by the instances that had
    // requests there.
    if suspects > 0 {
        shared.metrics.count_server_end(evidence.label());
        let event = Event::new("server-ended")
            .with("server", id)
            .with("incarnation", incarnation_name(server))
            .with("evidence", evidence.label())
            .with("suspects", suspects);
        warn!("{event}");
    }
    log_quarantined(shared, quarantine);
}

/// Records suspicions received from another instance. Returns what this instance knows of the suspects that
/// were served since, for the other one.
pub(crate) fn receive(
    shared: &Shared,
    kind: SuspectKind,
    suspicions: &[Suspicion],
) -> Vec<Suspicion> {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    let suspicions = suspicions.iter();
    let known = suspicions.filter_map(|suspicion| quarantine.apply_suspicion(kind, suspicion, now));
    let known = known.collect();
    log_quarantined(shared, quarantine);
    known
}

/// Records what another instance has served of late, according to its answer to this instance.
pub(crate) fn receive_served(shared: &Shared, kind: SuspectKind, served: &[ServedContent]) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    quarantine.apply_served(kind, served, now);
    log_quarantined(shared, quarantine);
}

/// Records what another instance tells unasked that it has just served repeatedly.
pub(crate) fn receive_newly_served(shared: &Shared, kind: SuspectKind, served: &[ServedContent]) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    quarantine.merge_served(kind, served, now);
    log_quarantined(shared, quarantine);
}

/// Runs expired timers.
pub(crate) fn expire(shared: &Shared) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    quarantine.expire(now);
    let requests = quarantine.quarantined_count(SuspectKind::Request, now);
    let parts = quarantine.quarantined_count(SuspectKind::Part, now);
    shared.metrics.set_quarantined(requests, parts);
}

/// The names in logs of the shared parts of a request's prompt, separated by commas.
pub(crate) fn part_names(shared: &Shared, content: &RequestContent) -> String {
    let parts = content.parts.iter();
    let names = parts.map(|part| shared.content_names.pseudonym(*part));
    names.collect::<Vec<String>>().join(",")
}

/// Logs what ran on a server when it cut its connections, so that the runs under an end can be
/// compared.
fn log_cut(shared: &Shared, choice: &Choice, cut: &CutRun<'_>, now: Millis) {
    let answering = cut.answering;
    let answering_for = answering.map(|answering| now.since(answering.since).to_string());
    let event = Event::new("run-cut")
        .with("request", cut.request)
        .with(
            "content",
            shared.content_names.pseudonym(cut.content.request),
        )
        .with("parts", part_names(shared, cut.content))
        .with("server", &choice.id)
        .with("incarnation", incarnation_name(choice.incarnation))
        .with("answering", answering_for.as_deref().unwrap_or("none"))
        .with("events", answering.map_or(0, |answering| answering.events));
    info!("{event}");
}

async fn probe_server(shared: Arc<Shared>, choice: Choice) {
    let refuses = refuses_connections(choice.address).await;
    if refuses {
        refused(&shared, &choice);
    }
    if refuses && is_path_open(&shared, &choice).await {
        server_ended(&shared, &choice.id, choice.incarnation, Evidence::Refused);
    } else {
        shared.quarantine().mark_inconclusive(choice.incarnation);
    }
}

fn log_quarantined(shared: &Shared, mut quarantine: MutexGuard<'_, Quarantine>) {
    let placed = quarantine.take_quarantined();
    let cleared_requests = quarantine.take_cleared_requests();
    let cleared_parts = quarantine.take_cleared_parts();
    drop(quarantine);
    for request in cleared_requests {
        let event = Event::new("content-cleared")
            .with("content", shared.content_names.pseudonym(request))
            .with("source", "instance");
        info!("{event}");
    }
    for part in cleared_parts {
        let part = shared.content_names.pseudonym(part);
        info!("{}", Event::new("part-cleared").with("part", part));
    }
    for quarantined in placed {
        let servers: Vec<String> = quarantined
            .servers
            .into_iter()
            .map(incarnation_name)
            .collect();
        let (event, field) = match quarantined.kind {
            SuspectKind::Request => (Event::new("content-quarantined"), "content"),
            SuspectKind::Part => (Event::new("part-quarantined"), "part"),
        };
        let event = event
            .with(field, shared.content_names.pseudonym(quarantined.content))
            .with("incarnations", servers.join(","))
            .with("span", quarantined.span);
        warn!("{event}");
    }
}

/// Name of an incarnation in logs. It is the same on all instances, so that their logs can be
/// merged.
fn incarnation_name(server: Incarnation) -> String {
    format!("{:016x}", server.0)
}
