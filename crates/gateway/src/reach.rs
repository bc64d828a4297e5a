//! Which servers this instance reaches: the evidence of its requests, the tests of paths, the log, and
//! the operators' page.

use std::fmt::Write;
use std::io::ErrorKind;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::one_word;
use crocushold_http::SendError;
use crocushold_http::SendErrorKind;
use crocushold_http::Stage;
use crocushold_http::accepts_connections;
use crocushold_http::is_path_failure;
use crocushold_routing::Fault;
use crocushold_routing::ReachChange;
use crocushold_routing::ReachEvidence;
use futures::future::join_all;
use log::info;
use log::warn;

use crate::fleet::Choice;
use crate::fleet::Ejection;
use crate::fleet::Fleet;
use crate::fleet::ProbeTarget;
use crate::shared::Shared;

/// Time after the end of an answer's connection in which a process that ends closes its other sockets.
const END_DELAY: Millis = Millis(10);

/// Whether a server lives on after it has closed the connection that delimits an answer. The system
/// closes the connections of a process that has crashed in the same way as the process does after the
/// last byte, but then nothing accepts new ones. In doubt it counts as ended: also if this process was
/// paused, as another server may have got the address meanwhile, or if another one is listed there.
pub(crate) async fn is_alive(shared: Arc<Shared>, server: Choice) -> bool {
    task::sleep(END_DELAY.into()).await;
    accepts_connections(server.address).await == Some(true)
        && !shared.has_just_resumed()
        && !shared.fleet().is_replaced(&server)
}

/// Records that an attempt had a connection to its server. One that was `reused` doesn't show that
/// another can be opened.
pub(crate) fn connected(shared: &Shared, choice: &Choice, reused: bool) {
    if reused {
        return;
    }
    let now = shared.clock.now();
    let mut fleet = shared.fleet();
    let changes = fleet.record_connected(choice, now);
    log_changes(shared, &fleet, &changes);
}

/// Records what an attempt without an answer says about the path to its server.
pub(crate) fn failed(shared: &Arc<Shared>, choice: &Choice, error: &SendError) {
    if error.stage > Stage::NotConnected {
        connected(shared, choice, error.reused);
        return;
    }
    let is_path = match &error.kind {
        SendErrorKind::ConnectTimeout => true,
        SendErrorKind::Connect(cause) => is_path_failure(cause),
        _ => false,
    };
    if is_refusal(&error.kind) {
        refused(shared, choice);
    }
    if is_path {
        let mut fleet = shared.fleet();
        let changes = fleet.record_connect_failure(choice);
        log_changes(shared, &fleet, &changes);
        if !changes.is_empty() {
            let targets = fleet.spread_probes(choice);
            drop(fleet);
            start_probes(shared, targets);
        }
    }
}

/// Records that the address of a server has refused a connection, so that its process has probably ended.
pub(crate) fn refused(shared: &Shared, choice: &Choice) {
    if shared.fleet().record_refused(choice, shared.clock.now()) {
        let event = Event::new("software-unknown")
            .with("server", &choice.id)
            .with("before", &choice.software);
        info!("{event}");
    }
}

fn is_refusal(kind: &SendErrorKind) -> bool {
    matches!(kind, SendErrorKind::Connect(cause) if cause.kind() == ErrorKind::ConnectionRefused)
}

/// Starts the probes that are due.
pub(crate) fn probe(shared: &Arc<Shared>) {
    let targets = shared.fleet().due_probes(shared.clock.now());
    start_probes(shared, targets);
}

/// Starts to test the paths to the `targets`.
pub(crate) fn start_probes(shared: &Arc<Shared>, targets: Vec<ProbeTarget>) {
    for target in targets {
        task::spawn(probe_server(shared.clone(), target));
    }
}

/// Whether connections to other servers can be opened after the chosen one has refused one.
pub(crate) async fn is_path_open(shared: &Arc<Shared>, choice: &Choice) -> bool {
    let targets = {
        let now = shared.clock.now();
        let mut fleet = shared.fleet();
        let changes = fleet.record_refusal(choice, now);
        log_changes(shared, &fleet, &changes);
        if fleet.path_lost_since().is_some() {
            return false;
        }
        fleet.spread_probes(choice)
    };
    let probes = targets.iter().cloned();
    let probes = join_all(probes.map(|target| probe_server(shared.clone(), target))).await;
    targets.is_empty() || probes.contains(&Some(true))
}

/// Tests the path to a server. Returns whether it is open, if that could be tested.
async fn probe_server(shared: Arc<Shared>, target: ProbeTarget) -> Option<bool> {
    let started = shared.clock.now();
    let connected = accepts_connections(target.address).await;
    let now = shared.clock.now();
    let mut fleet = shared.fleet();
    if let Some(connected) = connected {
        let changes = fleet.record_probe(&target, connected, started, now);
        log_changes(&shared, &fleet, &changes);
    }
    // In doubt nothing is held against the server.
    let is_reachable = connected.unwrap_or(true);
    shared
        .placer
        .record_probe(&mut fleet, target.server, is_reachable, now);
    connected
}

fn log_changes(shared: &Shared, fleet: &Fleet, changes: &[ReachChange]) {
    if changes.is_empty() {
        return;
    }
    let name = |server| fleet.name_of(server).unwrap_or_else(|| "unlisted".into());
    for change in changes {
        match *change {
            ReachChange::ServerLost(server, evidence) => info!(
                "{}",
                Event::new("server-unreachable")
                    .with("server", name(server))
                    .with("evidence", evidence_label(evidence))
            ),
            ReachChange::ServerRegained(server, after) => info!(
                "{}",
                Event::new("server-reachable")
                    .with("server", name(server))
                    .with("after", after)
            ),
            ReachChange::PathLost { servers } => warn!(
                "{}",
                Event::new("path-lost")
                    .with("servers", servers)
                    .with("known", fleet.len())
            ),
            ReachChange::PathRegained { after } => {
                warn!("{}", Event::new("path-regained").with("after", after));
            }
        }
    }
    shared
        .metrics
        .set_reach(fleet.unreachable_count(), fleet.path_lost_since().is_some());
}

/// Logs the servers that were taken out of use for failing. `source` says whose attempts failed.
pub(crate) fn log_ejections(ejections: Vec<Ejection>, source: &str) {
    for Ejection { id, fault, span } in ejections {
        let event = Event::new("server-ejected")
            .with("server", id)
            .with("fault", fault_label(fault))
            .with("for", span)
            .with("source", source);
        info!("{event}");
    }
}

/// The operators' page: which servers this instance reaches, since when, and how it knows.
pub(crate) fn page(fleet: &Fleet, now: Millis) -> String {
    let age = |at: Option<Millis>| at.map_or("none".to_owned(), |at| now.since(at).to_string());
    let percent = |work: Option<u16>| work.map_or("none".to_owned(), |work| format!("{work}%"));
    let mut text = format!(
        "path={} lost-for={}\n",
        if fleet.path_lost_since().is_some() {
            "lost"
        } else {
            "open"
        },
        age(fleet.path_lost_since()),
    );
    for server in fleet.server_reaches(now) {
        let failure = server.failure;
        let evidence = failure.map_or("none", |failure| evidence_label(failure.evidence));
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "server={} service={} zone={} unreachable-for={} evidence={evidence} connected={} \
             usual-work={} work={}",
            one_word(server.id),
            one_word(server.service),
            one_word(server.zone),
            age(failure.map(|failure| failure.since)),
            age(server.connected_at),
            percent(server.work_percent.map(|[usual, _]| usual)),
            percent(server.work_percent.map(|[_, work]| work)),
        );
    }
    text
}

fn evidence_label(evidence: ReachEvidence) -> &'static str {
    match evidence {
        ReachEvidence::Request => "request",
        ReachEvidence::Probe => "probe",
    }
}

fn fault_label(fault: Fault) -> &'static str {
    match fault {
        Fault::Refused => "refused",
        Fault::Unreachable => "unreachable",
        Fault::Failing => "failing",
        Fault::Hung => "hung",
        Fault::Straggling => "straggling",
        Fault::Overloaded => "overloaded",
        Fault::Resting => "resting",
    }
}
