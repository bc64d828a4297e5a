//! Evidence that servers ended, and the log of what follows from it.

use std::sync::Arc;
use std::sync::MutexGuard;

use async_std::task;
use crocushold_base::Event;
use crocushold_http::refuses_connections;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::Run;
use crocushold_routing::Suspicion;
use log::info;
use log::warn;

use crate::fleet::Choice;
use crate::shared::Shared;

/// What tells that a server's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Nothing listens at its address.
    Refused,
    /// Its entry is gone, and it hadn't said that it leaves.
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

/// A run was cut by its server. A reset or a lost answer looks the same as the end of the process, so the server is
/// looked for: one that is there still accepts connections.
pub(crate) fn run_cut(shared: &Arc<Shared>, choice: &Choice, content: Fingerprint) {
    // A planned end cuts what is left at the end of its grace.
    if shared.fleet().serving(&choice.id) != Some(choice.incarnation) {
        return;
    }
    let now = shared.clock.now();
    let run = Run {
        content,
        server: choice.incarnation,
        sent: choice.chosen,
    };
    let mut quarantine = shared.quarantine();
    let unwatched = quarantine.run_cut(run, now);
    note_quarantined(shared, quarantine);
    if unwatched {
        task::spawn(look(shared.clone(), choice.clone()));
    }
}

/// A request was served whole.
pub(crate) fn served(shared: &Shared, content: Fingerprint) {
    let now = shared.clock.now();
    if shared.quarantine().served(content, now) {
        let content = shared.content_names.pseudonym(content);
        info!("{}", Event::new("content-cleared").with("content", content));
    }
}

/// There is evidence that a server's process has ended without a word.
pub(crate) fn server_ended(shared: &Shared, id: &str, server: Incarnation, evidence: Evidence) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    let suspects = quarantine.server_ended(server, now);
    // Servers on which nothing of this instance ran are told of by those on which something did.
    if suspects > 0 {
        shared.report.server_ended(evidence.label());
        let event = Event::new("server-ended")
            .with("server", id)
            .with("incarnation", name(server))
            .with("evidence", evidence.label())
            .with("suspects", suspects);
        warn!("{event}");
    }
    note_quarantined(shared, quarantine);
}

/// Other instances tell of suspects.
pub(crate) fn hear(shared: &Shared, suspicions: &[Suspicion]) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    for suspicion in suspicions {
        quarantine.apply_suspicion(suspicion, now);
    }
    note_quarantined(shared, quarantine);
}

/// Runs timers out.
pub(crate) fn expire(shared: &Shared) {
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine();
    quarantine.expire(now);
    shared.report.quarantined(quarantine.quarantined_count(now));
}

async fn look(shared: Arc<Shared>, choice: Choice) {
    if refuses_connections(choice.address).await {
        server_ended(&shared, &choice.id, choice.incarnation, Evidence::Refused);
    } else {
        shared.quarantine().mark_inconclusive(choice.incarnation);
    }
}

fn note_quarantined(shared: &Shared, mut quarantine: MutexGuard<'_, Quarantine>) {
    let placed = quarantine.take_quarantined();
    drop(quarantine);
    for quarantined in placed {
        let servers: Vec<String> = quarantined.servers.into_iter().map(name).collect();
        let event = Event::new("content-quarantined")
            .with(
                "content",
                shared.content_names.pseudonym(quarantined.content),
            )
            .with("incarnations", servers.join(","))
            .with("span", quarantined.span);
        warn!("{event}");
    }
}

/// The same on all instances, so that their logs can be put together.
fn name(server: Incarnation) -> String {
    format!("{:016x}", server.0)
}
