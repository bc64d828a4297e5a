//! The registry of an instance.

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
use crate::class::series::CountSeries;
use crate::class::series::DurationSeries;
use crate::class::series::Group;
use crate::instance::InstanceInfo;
use crate::instance::InstanceSeries;

/// Most accounts that are exposed as series of their own.
pub const TOP_ACCOUNTS: usize = 20;
/// Counters of the sketch: more than are exposed, so that the exposed ones are nearly exact.
const SKETCH_ACCOUNTS: usize = 100;

/// All metrics of one instance; clones share them.
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
    count_group: Group,
    duration_group: Group,
}

impl Metrics {
    /// An empty registry for the instance `info`.
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

    /// The handles of a class, registered at the first call.
    ///
    /// Call it when a configuration is applied, not for each request. A class that is known with
    /// other settings keeps its counters and windows and gets new histograms, because their buckets
    /// stand at the targets.
    pub fn class(&self, settings: &ClassSettings) -> ClassMetrics {
        let mut classes = self.classes();
        let entry = match classes.remove(&settings.name) {
            Some(entry) if entry.handle.settings() == settings => entry,
            Some(entry) => self.retarget(entry, settings),
            None => self.register(settings),
        };
        let handle = entry.handle.clone();
        classes.insert(settings.name.clone(), entry);
        handle
    }

    /// Removes the series of every class that isn't among `names`.
    pub fn retain_classes<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let kept: BTreeSet<&str> = names.into_iter().collect();
        let mut classes = self.classes();
        let removed = classes.extract_if(.., |name, _| !kept.contains(name.as_str()));
        for (_, entry) in removed {
            entry.count_group.unregister();
            entry.duration_group.unregister();
        }
    }

    /// Adds tokens that a client account used.
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

    /// Sets the time since the platform last confirmed the configuration; `None` when it never did.
    ///
    /// That is shown as an infinite age, so that a rule for old ones sees it too.
    pub fn set_confirmed_age(&self, age: Option<Millis>) {
        let age = age.map_or(f64::INFINITY, Millis::as_secs_f64);
        self.inner.series.confirmed.set(age);
    }

    /// Sets the most bytes that callers can make the instance hold.
    pub fn set_memory_bound(&self, bytes: u64) {
        let value = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.inner.series.memory_bound.set(value);
    }

    /// The text format of Prometheus, with the windows that end at `now`.
    ///
    /// `now` is read from the clock that was started with the process.
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
        let mut count_group = Group::new(&self.inner.registry, &settings.name);
        let series = CountSeries::register(&mut count_group);
        let counts = Arc::new(ClassCounts::new(series));
        self.attach(counts, count_group, settings)
    }

    fn retarget(&self, entry: ClassEntry, settings: &ClassSettings) -> ClassEntry {
        entry.duration_group.unregister();
        self.attach(entry.counts, entry.count_group, settings)
    }

    fn attach(
        &self,
        counts: Arc<ClassCounts>,
        count_group: Group,
        settings: &ClassSettings,
    ) -> ClassEntry {
        counts.series.objective.set(settings.objective);
        let mut duration_group = Group::new(&self.inner.registry, &settings.name);
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

    // Nothing between lock and unlock leaves the maps half changed, so a panic elsewhere while a
    // lock is held doesn't make them unusable.

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
