//! The metrics registry of an instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::Millis;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::accounts::AccountSketch;
use crate::class::ClassCounts;
use crate::class::ClassMetrics;
use crate::class::ClassSettings;
use crate::class::series::CollectorGroup;
use crate::class::series::CountSeries;
use crate::class::series::DurationSeries;
use crate::instance::InstanceInfo;
use crate::instance::InstanceSeries;

/// The most accounts that are exposed as separate series.
pub const TOP_ACCOUNTS: usize = 20;
/// The counters of the sketch. They are more than the exposed accounts, so that the exposed values
/// are nearly exact.
const SKETCH_ACCOUNTS: usize = 100;

/// All metrics of an instance, shared between clones.
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

struct Inner {
    registry: Registry,
    series: InstanceSeries,
    classes: Mutex<BTreeMap<String, ClassEntry>>,
    accounts: Mutex<AccountSketch>,
}

struct ClassEntry {
    handle: ClassMetrics,
    counts: Arc<ClassCounts>,
    count_group: CollectorGroup,
    duration_group: CollectorGroup,
}

impl Metrics {
    /// Creates the metrics of the instance `info`, without classes.
    pub fn new(info: &InstanceInfo) -> Metrics {
        let registry = Registry::new();
        let series = InstanceSeries::register(&registry, info);
        series.confirmed.set(f64::INFINITY);
        let inner = Inner {
            registry,
            series,
            classes: Mutex::new(BTreeMap::new()),
            accounts: Mutex::new(AccountSketch::new(SKETCH_ACCOUNTS)),
        };
        Metrics {
            inner: Arc::new(inner),
        }
    }

    /// Returns the handles of a class, and registers the class at the first call.
    ///
    /// This is meant to be called when a configuration is applied, not for each request. A class
    /// that is registered with other settings keeps its counters and windows but gets new
    /// histograms, because their buckets depend on the targets.
    pub fn class(&self, settings: &ClassSettings) -> ClassMetrics {
        let mut classes = self.classes();
        let entry = match classes.remove(&settings.name) {
            Some(entry) if entry.handle.settings() == settings => entry,
            Some(entry) => self.replace_durations(entry, settings),
            None => self.register(settings),
        };
        let handle = entry.handle.clone();
        classes.insert(settings.name.clone(), entry);
        handle
    }

    /// Removes the classes that aren't in `names`, and their series.
    pub fn retain_classes<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let kept: BTreeSet<&str> = names.into_iter().collect();
        let mut classes = self.classes();
        let removed = classes.extract_if(.., |name, _| !kept.contains(name.as_str()));
        for (_, entry) in removed {
            entry.count_group.unregister();
            entry.duration_group.unregister();
        }
    }

    /// Adds tokens used by a client account.
    pub fn add_account_tokens(&self, account: &str, tokens: u64) {
        self.accounts().add(account, tokens);
    }

    /// Counts the ejection of a backend server.
    pub fn ejected(&self) {
        self.inner.series.ejections.inc();
    }

    /// Sets the configuration revision in force.
    pub fn set_revision(&self, revision: u64) {
        let value = i64::try_from(revision).unwrap_or(i64::MAX);
        self.inner.series.revision.set(value);
    }

    /// Sets the number of live peers.
    pub fn set_peers(&self, live: usize) {
        let value = i64::try_from(live).unwrap_or(i64::MAX);
        self.inner.series.peers.set(value);
    }

    /// Sets the time since the platform last confirmed the configuration; `None` if it never did.
    ///
    /// `None` is exposed as an infinite age, so that alert rules on old configurations also match
    /// it.
    pub fn set_confirmed_age(&self, age: Option<Millis>) {
        let age = age.map_or(f64::INFINITY, Millis::as_secs_f64);
        self.inner.series.confirmed.set(age);
    }

    /// Sets the upper bound on the memory that callers can make the instance hold, in bytes.
    pub fn set_memory_bound(&self, bytes: u64) {
        let value = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.inner.series.memory_bound.set(value);
    }

    /// Counts waits for callers that were ended early, by what the callers were waited for: a request (`idle`), the
    /// end of its `head` or of its `body`, or to read the `answer`.
    pub fn count_ended_waits(&self, awaited: &str, count: u64) {
        let waits = &self.inner.series.ended_waits;
        waits.with_label_values(&[awaited]).inc_by(count);
    }

    /// Renders the metrics in the text format of Prometheus, with the windows that end at `now`.
    ///
    /// `now` is the time since the start of the process.
    pub fn render(&self, now: Millis) -> String {
        self.inner.series.uptime.set(now.as_secs_f64());
        self.inner.series.refresh_process();
        self.refresh_accounts();
        for entry in self.classes().values() {
            entry.counts.refresh_windows(now);
        }
        TextEncoder::new()
            .encode_to_string(&self.inner.registry.gather())
            .expect("every family has a name and at least one series")
    }

    fn register(&self, settings: &ClassSettings) -> ClassEntry {
        let mut count_group = CollectorGroup::new(&self.inner.registry, &settings.name);
        let series = CountSeries::register(&mut count_group);
        let counts = Arc::new(ClassCounts::new(series));
        self.new_entry(counts, count_group, settings)
    }

    fn replace_durations(&self, entry: ClassEntry, settings: &ClassSettings) -> ClassEntry {
        entry.duration_group.unregister();
        self.new_entry(entry.counts, entry.count_group, settings)
    }

    fn new_entry(
        &self,
        counts: Arc<ClassCounts>,
        count_group: CollectorGroup,
        settings: &ClassSettings,
    ) -> ClassEntry {
        counts.series.objective.set(settings.objective);
        let mut duration_group = CollectorGroup::new(&self.inner.registry, &settings.name);
        let durations = DurationSeries::register(&mut duration_group, settings);
        let handle = ClassMetrics::new(settings.clone(), Arc::clone(&counts), durations);
        ClassEntry {
            handle,
            counts,
            count_group,
            duration_group,
        }
    }

    fn refresh_accounts(&self) {
        let top = self.accounts().top(TOP_ACCOUNTS);
        let family = &self.inner.series.accounts;
        family.reset();
        for entry in top {
            let value = i64::try_from(entry.tokens).unwrap_or(i64::MAX);
            family.with_label_values(&[&entry.account]).set(value);
        }
    }

    // No operation leaves the maps in an inconsistent state while a lock is held, so they stay
    // usable after a panic, and poisoning is ignored.

    fn classes(&self) -> MutexGuard<'_, BTreeMap<String, ClassEntry>> {
        let lock = self.inner.classes.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn accounts(&self) -> MutexGuard<'_, AccountSketch> {
        let lock = self.inner.accounts.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new(&InstanceInfo::default())
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.classes().keys().cloned().collect();
        f.debug_struct("Metrics").field("classes", &names).finish()
    }
}
