//! Follows the store for as long as the instance runs.

use std::collections::HashSet;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_platform::Backoff;
use crocushold_platform::Jitter;
use log::info;
use log::warn;

use crate::cold_check;
use crate::directory::Removal;
use crate::era::Revision;
use crate::fleet::ListOutcome;
use crate::listing::Listing;
use crate::listing::PartialListing;
use crate::malformed::MalformedEntries;
use crate::quarantine::Evidence;
use crate::quarantine::server_ended;
use crate::routes::RouteTable;
use crate::routes::ServerRecord;
use crate::routes::TableSpec;
use crate::shared::Shared;
use crate::source::Change;
use crate::source::Changes;
use crate::source::Entry;
use crate::source::IncomingAnswer;
use crate::source::Source;
use crate::source::SourceError;
use crate::start::FirstRead;
use crate::start::StartStep;
use crate::store_times::StoreTimes;

/// Maximum delay after a failed call while there is no configuration yet.
const STARTUP_BACKOFF_CAP: Millis = Millis(250);

/// Reads and watches the store forever.
pub(crate) async fn follow(shared: Arc<Shared>, source: impl Source) {
    let mut follower = Follower::new(&shared);
    loop {
        let result = match follower.at {
            None => follower.list(&shared, &source).await.and_then(|listing| {
                follower.on_answer(&shared, listing.revision, listing.started, listing.started)?;
                Ok(follower.apply_listing(&shared, listing))
            }),
            Some(at) => {
                let asked = shared.clock.now();
                let Some(changes) = follower.watch(&shared, &source, at).await else {
                    continue;
                };
                changes.and_then(|changes| {
                    let now = shared.clock.now();
                    follower.on_answer(&shared, changes.revision, asked, now)?;
                    shared.store.observe(changes.last_change);
                    Ok(follower.apply_changes(&shared, changes))
                })
            }
        };
        match result {
            // Without a pause, a starting fleet or a series of changes by an operator would wake a
            // watch once for each entry.
            Ok(next_call) => {
                follower.schedule_expiry(&shared);
                if next_call == NextCall::Batch {
                    task::sleep(follower.times.batch_pause.into()).await;
                }
            }
            Err(error) => follower.on_failure(&shared, &error).await,
        }
    }
}

/// When to make the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// Immediately.
    Immediate,
    /// After a pause, to batch changes that follow those just read.
    Batch,
}

struct Follower {
    /// The revision up to which all changes are known; `None` before the first listing.
    at: Option<Revision>,
    /// The era of the last answer; `None` before the first one.
    era: Option<u64>,
    /// Whether the next watch must not wait for long: the last one was cancelled because other
    /// instances know of a change, or the last call failed.
    lags: bool,
    /// The listing in progress.
    listing: PartialListing,
    /// When the last scheduled expiry of unconfirmed servers is due.
    expiry: Millis,
    times: StoreTimes,
    backoff: Backoff,
    jitter: Jitter,
}

impl Follower {
    fn new(shared: &Shared) -> Follower {
        let times = StoreTimes::new(&shared.settings);
        Follower {
            at: None,
            era: None,
            lags: false,
            listing: PartialListing::default(),
            expiry: Millis::ZERO,
            times,
            backoff: Backoff::new(times.backoff),
            jitter: Jitter::new(shared.seed),
        }
    }

    /// Lists everything. Requests that arrive before there is a configuration may wait for the first
    /// listing.
    async fn list(
        &mut self,
        shared: &Shared,
        source: &impl Source,
    ) -> Result<Listing, SourceError> {
        let is_first = shared.table().is_none();
        if is_first {
            shared
                .start
                .record(StartStep::ListingAsked, shared.clock.now());
            shared.start.set_first_read(FirstRead::Running);
        }
        let pages = self.listing.pages();
        let listed = self.listing.read(shared, source).await;
        if self.listing.pages() > pages {
            self.backoff.reset();
        }
        if is_first && listed.is_err() {
            shared.start.set_first_read(FirstRead::Idle);
        }
        listed
    }

    /// Watches for changes after `at`. Returns `None` if the watch was cancelled.
    ///
    /// After that the changes are known to exist, so the next watch has nothing to wait for: it
    /// isn't cancelled again, or a store whose answers take longer than changes are apart would
    /// never be heard. It is short, as after a failure: the end of an outage must be noticed soon
    /// also if the store was silent. So must what changed while this process was paused.
    async fn watch(
        &mut self,
        shared: &Shared,
        source: &impl Source,
        at: Revision,
    ) -> Option<Result<Changes, SourceError>> {
        let begun = if self.lags || !shared.has_asked_since_pause() {
            source.watch(at, self.times.lag_watch).await
        } else {
            let started = shared.clock.now();
            let watch = source.watch(at, self.times.watch);
            let begun = shared.store.run(at, watch).await;
            self.lags = begun.is_none();
            if self.lags {
                let event = Event::new("watch-given-up")
                    .with("revision", at.number)
                    .with("after", shared.clock.now().since(started));
                info!("{event}");
            }
            begun?
        };
        self.lags = false;
        Some(match begun {
            Ok(incoming) => incoming.receive().await,
            Err(error) => Err(error),
        })
    }

    /// Records an answer of the store to a call at `asked`, which confirms the known state as of `confirmed`.
    ///
    /// This must precede the processing of its content: the first answer after an outage may report removed entries, and
    /// those must stay unconfirmed.
    ///
    /// # Errors
    ///
    /// Fails if the answer is from another era than the known state, since its content doesn't
    /// continue that state.
    fn on_answer(
        &mut self,
        shared: &Shared,
        at: Revision,
        asked: Millis,
        confirmed: Millis,
    ) -> Result<(), SourceError> {
        let held = *self.era.get_or_insert(at.era);
        if at.era < held {
            return Err(SourceError::Failed(
                "the answer is from an earlier era".to_owned(),
            ));
        }
        self.backoff.reset();
        let now = shared.clock.now();
        if shared.directory().record_success(now) {
            let event = Event::new("store-regained")
                .with("revision", at.number)
                .with("after", shared.knowledge_age());
            info!("{event}");
        }
        shared.record_confirmed(asked, confirmed);
        if at.era == held {
            return Ok(());
        }
        self.era = Some(at.era);
        shared.directory().record_rollback(now);
        let event = Event::new("store-went-back")
            .with("era", at.era)
            .with("before", held)
            .with("revision", at.number);
        warn!("{event}");
        match self.at {
            // A listing is complete, unlike changes.
            None => Ok(()),
            Some(_) => Err(SourceError::HistoryLost),
        }
    }

    /// Schedules the end of the grace period of servers whose entries are missing.
    ///
    /// The bound on requests to a server that has left leaves no time for the interval of the
    /// timers.
    fn schedule_expiry(&mut self, shared: &Arc<Shared>) {
        let due = shared.directory().next_expiry();
        let Some(due) = due.filter(|due| *due > self.expiry) else {
            return;
        };
        self.expiry = due;
        let shared = shared.clone();
        task::spawn(async move {
            let left = due.since(shared.clock.now());
            task::sleep(left.into()).await;
            expire(&shared);
        });
    }

    async fn on_failure(&mut self, shared: &Shared, error: &SourceError) {
        let must_list = *error == SourceError::HistoryLost
            || (*error == SourceError::TooLarge && self.at.is_some());
        if must_list {
            let at = self.at.take().unwrap_or_default();
            let event = Event::new("store-history-lost")
                .with("revision", at.number)
                .with("cause", error);
            info!("{event}");
            return;
        }
        self.lags = true;
        if shared.directory().record_failure() {
            let event = Event::new("store-lost")
                .with("cause", error)
                .with("revision", self.at.unwrap_or_default().number);
            warn!("{event}");
        }
        let pause = match error {
            SourceError::Refused(_, Some(asked)) => {
                self.backoff.retry_after(*asked, &mut self.jitter)
            }
            // A listing that made no progress, or was too long, took many calls, and the next one is
            // likely to end alike.
            SourceError::NoProgress | SourceError::TooLarge => {
                self.backoff.next_pause(&mut self.jitter)
            }
            // No request can be served before the first listing, so retry more often.
            _ if shared.table().is_none() => self
                .backoff
                .next_pause(&mut self.jitter)
                .min(STARTUP_BACKOFF_CAP),
            _ => self.backoff.next_pause(&mut self.jitter),
        };
        shared.start.record_failed_read(shared.clock.now() + pause);
        task::sleep(pause.into()).await;
    }

    fn apply_listing(&mut self, shared: &Arc<Shared>, listing: Listing) -> NextCall {
        let now = shared.clock.now();
        let ids: HashSet<&str> = listing.entries.iter().filter_map(server_id).collect();
        let zones: HashSet<&str> = listing.entries.iter().filter_map(evacuated_zone).collect();
        let readmitted = shared.fleet().evacuated_except(&zones);
        for zone in readmitted {
            if !shared.directory().eras().retains_evacuation(&zone, now) {
                readmit(shared, &zone, now);
            }
        }
        let missing = shared.directory().reconcile(&ids, now);
        shared.store.observe(listing.last_change);
        let count = listing.entries.len();
        let mut batch = Batch::new(shared, now);
        batch.malformed = listing.malformed;
        for entry in listing.entries {
            batch.set(entry);
        }
        batch.apply_configs();
        for (id, removal) in missing {
            apply_removal(shared, &id, removal, "not-listed", now);
        }
        batch.finish();
        cold_check::start(shared);
        self.at = Some(listing.revision);
        let event = Event::new("store-listed")
            .with("revision", listing.revision.number)
            .with("era", listing.revision.era)
            .with("entries", count)
            .with("pages", listing.pages);
        info!("{event}");
        // Changes since the first page of a long listing have waited for long enough.
        if now.since(listing.started) > self.times.batch_pause {
            NextCall::Immediate
        } else {
            NextCall::Batch
        }
    }

    fn apply_changes(&mut self, shared: &Arc<Shared>, changes: Changes) -> NextCall {
        let now = shared.clock.now();
        let next_call = if changes.changes.is_empty() {
            NextCall::Immediate
        } else {
            NextCall::Batch
        };
        let mut batch = Batch::new(shared, now);
        for change in changes.changes {
            match change {
                Change::Set(entry) => batch.set(entry),
                Change::Unlisted(id) => batch.removed.push(id),
                Change::Readmission(zone) => {
                    shared.directory().eras().confirm_zone(&zone);
                    readmit(shared, &zone, now);
                }
            }
        }
        batch.apply_configs();
        batch.finish();
        cold_check::start(shared);
        self.at = Some(changes.revision.max(self.at.unwrap_or_default()));
        next_call
    }
}

/// Removes the servers and evacuations that are still missing some time after the store has
/// recovered.
pub(crate) fn expire(shared: &Shared) {
    let now = shared.clock.now();
    let gone = shared.directory().expire(now);
    for id in gone {
        remove_lost_server(shared, &id, "missing-after-outage");
    }
    let zones = shared.directory().eras().expire(now);
    for zone in zones {
        readmit(shared, &zone, now);
    }
}

/// Records that another instance has had contact to the store for `age`.
pub(crate) fn on_peer_contact(shared: &Shared, age: Millis) {
    let now = shared.clock.now();
    let gone = shared.directory().confirm_removals(now.since(age), now);
    for id in gone {
        remove_lost_server(shared, &id, "confirmed");
    }
}

fn server_id(entry: &Entry) -> Option<&str> {
    match entry {
        Entry::Server(record) => Some(&record.id),
        Entry::Config(_) | Entry::Evacuation(_) | Entry::Malformed { .. } => None,
    }
}

fn evacuated_zone(entry: &Entry) -> Option<&str> {
    match entry {
        Entry::Evacuation(zone) => Some(zone),
        Entry::Config(_) | Entry::Server(_) | Entry::Malformed { .. } => None,
    }
}

/// The content of one answer while it is applied: new servers first, then the configuration, then the removal
/// of servers.
///
/// In between, requests are handled. A route must not be in force before the servers of its service are
/// known, nor a server removed before the route that leads to its successors is.
struct Batch<'a> {
    shared: &'a Shared,
    now: Millis,
    configs: Vec<TableSpec>,
    /// Servers whose removal is still to be applied.
    removed: Vec<String>,
    malformed: MalformedEntries,
}

impl Batch<'_> {
    fn new(shared: &Shared, now: Millis) -> Batch<'_> {
        Batch {
            shared,
            now,
            configs: Vec::new(),
            removed: Vec::new(),
            malformed: MalformedEntries::default(),
        }
    }

    fn set(&mut self, entry: Entry) {
        let shared = self.shared;
        match entry {
            Entry::Config(spec) => self.configs.push(spec),
            Entry::Server(record) => {
                self.apply_earlier_removal(&record.id);
                list_server(shared, &record, self.now);
            }
            Entry::Evacuation(zone) => evacuate(shared, &zone),
            Entry::Malformed {
                name,
                server,
                finding,
            } => {
                // The server that was listed under this name must get no new work: the registry no
                // longer says that whatever runs there accepts any.
                if let Some(id) = server
                    && shared.directory().invalidate(&id)
                {
                    remove_server(shared, &id, "entry-malformed");
                }
                self.malformed.add(name, finding);
            }
        }
    }

    /// Applies the removal of a server that is listed again by a later change.
    fn apply_earlier_removal(&mut self, id: &str) {
        let before = self.removed.len();
        self.removed.retain(|removed| removed != id);
        if self.removed.len() < before {
            self.apply_removal(id);
        }
    }

    fn apply_configs(&mut self) {
        for spec in std::mem::take(&mut self.configs) {
            apply_config(self.shared, spec);
        }
    }

    fn finish(mut self) {
        for id in std::mem::take(&mut self.removed) {
            self.apply_removal(&id);
        }
        self.malformed.log(&self.shared.metrics);
    }

    fn apply_removal(&self, id: &str) {
        let removal = self.shared.directory().remove(id, self.now);
        apply_removal(self.shared, id, removal, "removed", self.now);
    }
}

/// Puts a configuration in force unless the current one is as new.
///
/// Otherwise a delayed answer or an outdated read would undo a change.
fn apply_config(shared: &Shared, spec: TableSpec) {
    let held = shared.table().map(|table| table.version());
    if held.is_some_and(|held| held >= spec.version) {
        return;
    }
    let table = RouteTable::new(spec);
    let event = Event::new("config-in-force")
        .with("version", table.version())
        .with("before", held.unwrap_or_default())
        .with("routes", table.len());
    info!("{event}");
    shared.apply_config(table);
    shared
        .start
        .record(StartStep::Configured, shared.clock.now());
}

fn evacuate(shared: &Shared, zone: &str) {
    shared.directory().eras().confirm_zone(zone);
    if shared.fleet().evacuate(zone) {
        info!("{}", Event::new("zone-evacuated").with("zone", zone));
    }
}

fn readmit(shared: &Shared, zone: &str, now: Millis) {
    if shared.fleet().readmit(zone, now) {
        info!("{}", Event::new("zone-readmitted").with("zone", zone));
    }
}

fn list_server(shared: &Shared, record: &ServerRecord, now: Millis) {
    if !shared.directory().observe(&record.id, record.version()) {
        let event = Event::new("entry-outdated")
            .with("server", &record.id)
            .with("sequence", record.heartbeat.sequence);
        info!("{event}");
        return;
    }
    let before = shared.fleet().serving(&record.id);
    let was_cold = shared.fleet().cold_until(&record.id, now).is_some();
    let listed = shared.fleet().list(record, now);
    log_cold_server(shared, record, was_cold, now);
    if listed == ListOutcome::Unchanged {
        return;
    }
    let event = Event::new("server-listed")
        .with("server", &record.id)
        .with("restarted", listed == ListOutcome::Restarted)
        .with("service", &record.service)
        .with("software", &record.software)
        .with("address", record.address)
        .with("presence", format!("{:?}", record.presence))
        .with("started", record.started.unwrap_or_default());
    info!("{event}");
    if let (ListOutcome::Restarted, Some(before)) = (listed, before) {
        server_ended(shared, &record.id, before, Evidence::Restarted);
    }
}

/// Logs a server that became cold.
fn log_cold_server(shared: &Shared, record: &ServerRecord, before: bool, now: Millis) {
    let until = shared.fleet().cold_until(&record.id, now);
    let Some(until) = until.filter(|_| !before) else {
        return;
    };
    let event = Event::new("server-cold")
        .with("server", &record.id)
        .with("zone", &record.zone)
        .with("left-ms", until.since(now).0);
    info!("{event}");
}

/// Removes a server whose entry is missing, unless it stays in use for a while.
fn apply_removal(shared: &Shared, id: &str, removal: Removal, cause: &str, now: Millis) {
    match removal {
        Removal::Gone => remove_lost_server(shared, id, cause),
        Removal::Unconfirmed(until) => {
            let event = Event::new("server-unconfirmed")
                .with("server", id)
                .with("left-ms", until.since(now).0);
            info!("{event}");
        }
        Removal::Unknown => {}
    }
}

/// Removes a server whose entry expired or was deleted.
fn remove_lost_server(shared: &Shared, id: &str, cause: &str) {
    let serving = shared.fleet().serving(id);
    remove_server(shared, id, cause);
    if let Some(incarnation) = serving {
        server_ended(shared, id, incarnation, Evidence::Unlisted);
    }
}

fn remove_server(shared: &Shared, id: &str, cause: &str) {
    shared.fleet().unlist(id);
    let event = Event::new("server-gone")
        .with("server", id)
        .with("cause", cause);
    info!("{event}");
}
