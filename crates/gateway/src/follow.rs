//! Following what is published, as long as the instance runs.

use std::collections::HashSet;
use std::sync::Arc;

use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_platform::Backoff;
use crocushold_platform::BackoffSettings;
use crocushold_platform::Jitter;
use log::info;
use log::warn;

use crate::era::Revision;
use crate::fleet::Listed;
use crate::quarantine::Evidence;
use crate::quarantine::server_ended;
use crate::routes::RouteTable;
use crate::routes::ServerRecord;
use crate::routes::TableSpec;
use crate::shared::Shared;
use crate::source::Change;
use crate::source::Changes;
use crate::source::Entry;
use crate::source::Listing;
use crate::source::Source;
use crate::source::SourceError;

/// The first pause after a failed call.
const BACKOFF_FIRST: Millis = Millis(100);

/// The longest pause. A change must be in force two seconds after the store accepts it, also when the
/// store has just returned.
const BACKOFF_CAP: Millis = Millis(800);

/// How long a `Retry-After` of the store is honoured at most, for the same reason.
const RETRY_CAP: Millis = Millis(1000);

/// The longest pause of an instance that has no configuration yet.
const START_PAUSE: Millis = Millis(250);

/// Reads and watches for ever.
pub(crate) async fn follow(shared: Arc<Shared>, source: impl Source) {
    let mut follower = Follower::new(&shared);
    loop {
        let result = match follower.at {
            None => source.list().await.and_then(|listing| {
                follower.succeed(&shared, listing.at)?;
                follower.list(&shared, listing);
                Ok(Pace::Gather)
            }),
            Some(at) => {
                let wait = shared.settings.watch_wait();
                let watch = shared.store.until(at, source.watch(at, wait)).await;
                let Some(watch) = watch else {
                    info!(
                        "{}",
                        Event::new("watch-given-up").with("revision", at.number)
                    );
                    continue;
                };
                watch.and_then(|changes| {
                    follower.succeed(&shared, changes.at)?;
                    shared.store.saw(changes.changed);
                    Ok(follower.take(&shared, changes))
                })
            }
        };
        match result {
            // A fleet that starts, or a row of changes by an operator, would wake a watch once for each entry.
            Ok(Pace::Gather) => task::sleep(shared.settings.gather().into()).await,
            Ok(Pace::AtOnce) => {}
            Err(error) => follower.fail(&shared, &error).await,
        }
    }
}

/// When the next call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// At once.
    AtOnce,
    /// After a pause, for the changes that come with those that were just read.
    Gather,
}

struct Follower {
    /// The revision up to which everything is known; none before the first list.
    at: Option<Revision>,
    /// The era of the last answer; none before the first one.
    era: Option<u64>,
    backoff: Backoff,
    jitter: Jitter,
}

impl Follower {
    fn new(shared: &Shared) -> Follower {
        let settings = BackoffSettings {
            initial_pause: BACKOFF_FIRST,
            max_pause: BACKOFF_CAP,
            max_retry_after: RETRY_CAP,
        };
        Follower {
            at: None,
            era: None,
            backoff: Backoff::new(settings),
            jitter: Jitter::new(shared.seed),
        }
    }

    /// The store answered. Before what it says is looked at: an entry that vanished while it was away
    /// is only doubted, and the answer that tells so is the first one after the outage.
    ///
    /// # Errors
    ///
    /// Fails where the answer is of another era than what is known: what it holds doesn't follow on that.
    fn succeed(&mut self, shared: &Shared, at: Revision) -> Result<(), SourceError> {
        let held = *self.era.get_or_insert(at.era);
        if at.era < held {
            return Err(SourceError::Failed("an answer of a former era".to_owned()));
        }
        self.backoff.reset();
        let now = shared.clock.now();
        if shared.directory().succeeded(now) {
            let event = Event::new("store-regained").with("revision", at.number);
            info!("{event}");
        }
        shared.confirmed(now);
        if at.era == held {
            return Ok(());
        }
        self.era = Some(at.era);
        shared.directory().went_back(now);
        let event = Event::new("store-went-back")
            .with("era", at.era)
            .with("before", held)
            .with("revision", at.number);
        warn!("{event}");
        match self.at {
            // A list holds all that there is; changes don't.
            None => Ok(()),
            Some(_) => Err(SourceError::HistoryLost),
        }
    }

    async fn fail(&mut self, shared: &Shared, error: &SourceError) {
        if *error == SourceError::HistoryLost {
            let at = self.at.take().unwrap_or_default();
            let event = Event::new("store-history-lost").with("revision", at.number);
            info!("{event}");
            return;
        }
        if shared.directory().failed() {
            let event = Event::new("store-lost")
                .with("cause", error)
                .with("revision", self.at.unwrap_or_default().number);
            warn!("{event}");
        }
        let pause = match error {
            SourceError::Refused(_, Some(asked)) => {
                self.backoff.retry_after(*asked, &mut self.jitter)
            }
            // Nothing can be served before the first list, so its return is looked for more often.
            _ if shared.table().is_none() => {
                self.backoff.next_pause(&mut self.jitter).min(START_PAUSE)
            }
            _ => self.backoff.next_pause(&mut self.jitter),
        };
        task::sleep(pause.into()).await;
    }

    fn list(&mut self, shared: &Shared, listing: Listing) {
        let now = shared.clock.now();
        let ids: HashSet<&str> = listing.entries.iter().filter_map(server_id).collect();
        let zones: HashSet<&str> = listing.entries.iter().filter_map(evacuated_zone).collect();
        let readmitted = shared.fleet().evacuated_beside(&zones);
        for zone in readmitted {
            if !shared.directory().eras().keeps_evacuated(&zone, now) {
                readmit(shared, &zone, now);
            }
        }
        let gone = shared.directory().listed(&ids, now);
        for id in gone {
            lose_server(shared, &id, "not-listed");
        }
        shared.store.saw(listing.changed);
        let count = listing.entries.len();
        let mut malformed = Malformed::default();
        for entry in listing.entries {
            set(shared, entry, &mut malformed, now);
        }
        malformed.report(shared);
        self.at = Some(listing.at);
        let event = Event::new("store-listed")
            .with("revision", listing.at.number)
            .with("era", listing.at.era)
            .with("entries", count);
        info!("{event}");
    }

    fn take(&mut self, shared: &Shared, changes: Changes) -> Pace {
        let now = shared.clock.now();
        let pace = if changes.changes.is_empty() {
            Pace::AtOnce
        } else {
            Pace::Gather
        };
        let mut malformed = Malformed::default();
        for change in changes.changes {
            match change {
                Change::Set(entry) => set(shared, entry, &mut malformed, now),
                Change::Unlisted(id) => {
                    if shared.directory().vanished(&id, now) {
                        lose_server(shared, &id, "removed");
                    }
                }
                Change::Readmission(zone) => {
                    shared.directory().eras().zone_told(&zone);
                    readmit(shared, &zone, now);
                }
            }
        }
        malformed.report(shared);
        self.at = Some(changes.at.max(self.at.unwrap_or_default()));
        pace
    }
}

/// Drops the servers whose entries are still missing some time after the store's return.
pub(crate) fn expire(shared: &Shared) {
    let now = shared.clock.now();
    let gone = shared.directory().expire(now);
    for id in gone {
        lose_server(shared, &id, "missing-after-outage");
    }
    let zones = shared.directory().eras().expire(now);
    for zone in zones {
        readmit(shared, &zone, now);
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

fn set(shared: &Shared, entry: Entry, malformed: &mut Malformed, now: Millis) {
    match entry {
        Entry::Config(spec) => configure(shared, spec),
        Entry::Server(record) => list_server(shared, &record, now),
        Entry::Evacuation(zone) => evacuate(shared, &zone),
        Entry::Malformed {
            name,
            server,
            finding,
        } => {
            // A server that was listed under the name before must get no new work: whatever runs there now,
            // the registry no longer says that it takes any.
            if let Some(id) = server
                && shared.directory().replaced(&id)
            {
                drop_server(shared, &id, "entry-malformed");
            }
            malformed.add(name, finding);
        }
    }
}

/// Entries of one answer that can't be read. Another writer may leave a thousand of them; together they
/// take one line in the log.
#[derive(Default)]
struct Malformed {
    count: u64,
    /// The name of the first, and what is wrong with it.
    first: Option<(String, String)>,
}

impl Malformed {
    fn add(&mut self, name: String, finding: String) {
        self.count += 1;
        self.first.get_or_insert((name, finding));
    }

    fn report(self, shared: &Shared) {
        let Some((name, finding)) = self.first else {
            return;
        };
        shared.report.malformed(self.count);
        let event = Event::new("entries-malformed")
            .with("count", self.count)
            .with("first", name)
            .with("finding", finding);
        warn!("{event}");
    }
}

/// Puts a configuration in force, unless the one that is held is as new.
///
/// A call that was answered late, or a read that is behind, would otherwise undo a change.
fn configure(shared: &Shared, spec: TableSpec) {
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
    shared.put_in_force(table);
}

fn evacuate(shared: &Shared, zone: &str) {
    shared.directory().eras().zone_told(zone);
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
    if !shared.directory().seen(&record.id, record.version()) {
        let event = Event::new("entry-outdated")
            .with("server", &record.id)
            .with("sequence", record.heartbeat.sequence);
        info!("{event}");
        return;
    }
    let before = shared.fleet().serving(&record.id);
    let was_cold = shared.fleet().cold_until(&record.id, now).is_some();
    let listed = shared.fleet().list(record, now);
    note_cold(shared, record, was_cold, now);
    if listed == Listed::Known {
        return;
    }
    let event = Event::new("server-listed")
        .with("server", &record.id)
        .with("restarted", listed == Listed::Restarted)
        .with("service", &record.service)
        .with("address", record.address)
        .with("presence", format!("{:?}", record.presence))
        .with("started", record.started.unwrap_or_default());
    info!("{event}");
    if let (Listed::Restarted, Some(before)) = (listed, before) {
        server_ended(shared, &record.id, before, Evidence::Restarted);
    }
}

/// Logs that a server is cold that wasn't before.
fn note_cold(shared: &Shared, record: &ServerRecord, before: bool, now: Millis) {
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

/// Drops a server whose entry lapsed or was taken away.
fn lose_server(shared: &Shared, id: &str, cause: &str) {
    let serving = shared.fleet().serving(id);
    drop_server(shared, id, cause);
    if let Some(incarnation) = serving {
        server_ended(shared, id, incarnation, Evidence::Unlisted);
    }
}

fn drop_server(shared: &Shared, id: &str, cause: &str) {
    shared.fleet().unlist(id);
    let event = Event::new("server-gone")
        .with("server", id)
        .with("cause", cause);
    info!("{event}");
}
