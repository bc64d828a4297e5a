//! Reads of the platform.

use std::sync::Arc;

use crocushold_base::Millis;
use rand::RngExt;

use crate::member::View;
use crate::spread::Spread;
use crate::spread::SpreadAction;
use crate::spread::SpreadFinding;
use crate::spread::fetch::Fetch;
use crate::spread::fetch::MAX_STALE_ANSWERS;
use crate::spread::fetch::Source;
use crate::spread::fetch::WantedPart;
use crate::spread::store::Part;

/// Time below which a watch that returns without news is considered not to have waited.
const IMMEDIATE_RETURN: Millis = Millis(1000);

/// Time, in addition to its wait, after which a read that the embedder never answered is considered
/// failed.
const LOST_READ_TIMEOUT: Millis = Millis::from_secs(10);

/// A part in the platform's index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// The team.
    pub team: Arc<str>,
    /// The revision at which the part last changed.
    pub revision: u64,
}

/// The platform's index of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Index {
    /// Revision of the whole configuration.
    pub revision: u64,
    /// The existing parts.
    pub parts: Vec<IndexEntry>,
}

/// The text of a part as returned by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartText {
    /// The team.
    pub team: Arc<str>,
    /// The part's revision.
    pub revision: u64,
    /// The text.
    pub text: Arc<str>,
}

/// A failed read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadFailed {
    /// The delay that the platform asked for if the read exceeded the budget.
    pub retry_after: Option<Millis>,
}

/// The result of a platform read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRead {
    /// Answer to a read or watch of the index.
    Index(Result<Index, ReadFailed>),
    /// Answer to a read of a part.
    Part(Arc<str>, Result<PartText, ReadFailed>),
}

/// Number of consecutive failed reads of a part after which a fetch continues without it.
const MAX_READ_ATTEMPTS: u32 = 2;

/// State of the platform reads.
#[derive(Debug, Default)]
pub(super) struct IndexReader {
    is_watcher: bool,
    /// When the current read of the index started, and how long it may wait.
    pending_read: Option<(Millis, Millis)>,
    last_read: Option<Millis>,
    /// The index of the highest revision that the platform returned.
    latest_index: Option<Index>,
    jitter: Millis,
    behind: bool,
    down: bool,
    /// When the platform last returned a revision that wasn't older than the one held.
    confirmed_at: Option<Millis>,
}

impl IndexReader {
    /// Returns the highest revision that the platform returned.
    pub(super) fn listed_revision(&self) -> u64 {
        self.latest_index.as_ref().map_or(0, |index| index.revision)
    }

    fn take_index(&mut self, index: Index) {
        if index.revision >= self.listed_revision() {
            self.latest_index = Some(index);
        }
    }
}

impl Spread {
    /// Applies a changed live view, which determines the watchers and how the read budget is
    /// shared.
    pub fn view_changed(&mut self, view: &View, listed: usize) {
        let count = self.settings.watchers;
        self.reader.is_watcher = view.is_watcher(count);
        if self.reader.is_watcher {
            // A new instance that doesn't know any others yet must not use the whole budget.
            let known = view.watchers(count).max(listed.min(count * 8));
            self.budget.set_share(self.settings.watch_rate, known);
        } else {
            let instances = view.live().max(listed);
            self.budget.set_share(self.settings.read_rate, instances);
        }
        self.retain_peers(|peer| view.get(peer).is_some());
    }

    /// Returns whether this instance holds a watch.
    pub fn is_watcher(&self) -> bool {
        self.reader.is_watcher
    }

    /// Returns when the platform last returned a revision that wasn't older than the one held;
    /// `None` if it never did.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.reader.confirmed_at
    }

    /// Processes the result of a platform read.
    pub fn platform_read(&mut self, read: PlatformRead, now: Millis) -> Vec<SpreadAction> {
        match read {
            PlatformRead::Index(Ok(index)) => self.on_index(index, now),
            PlatformRead::Index(Err(failed)) => self.on_index_failed(failed, now),
            PlatformRead::Part(team, Ok(part)) => self.on_part(&team, &part, now),
            PlatformRead::Part(team, Err(failed)) => self.on_part_failed(&team, failed, now),
        }
        self.advance(now);
        self.finish(now)
    }

    pub(super) fn read_platform(&mut self, now: Millis) {
        if let Some((began, allowed)) = self.reader.pending_read {
            if now.since(began) < allowed + LOST_READ_TIMEOUT {
                return;
            }
            self.on_index_failed(ReadFailed::default(), now);
        }
        let watches = self.reader.is_watcher && self.start.has_platform();
        let due = self
            .reader
            .last_read
            .is_none_or(|t| now.since(t) >= self.read_interval());
        if !(watches || due || !self.start.has_platform()) || !self.budget.take(now) {
            return;
        }
        self.reader.last_read = Some(now);
        let wait = self.settings.watch_timeout;
        if watches {
            self.reader.pending_read = Some((now, wait));
            // Not only the revision in force: while a listed revision is still being fetched, the
            // watch would return at once repeatedly.
            let after = self.held.revision.max(self.reader.listed_revision());
            self.act(SpreadAction::WatchIndex { after, wait });
        } else {
            self.reader.pending_read = Some((now, Millis::ZERO));
            self.act(SpreadAction::ReadIndex);
        }
    }

    fn read_interval(&self) -> Millis {
        self.settings.read_interval + self.reader.jitter
    }

    fn on_index(&mut self, index: Index, now: Millis) {
        let began = self.reader.pending_read.take();
        let waited = began.map(|(t, allowed)| (now.since(t), allowed));
        let known = self.held.revision.max(self.reader.listed_revision());
        let is_news = index.revision > known;
        let prompt = waited.is_some_and(|(span, allowed)| span < IMMEDIATE_RETURN.min(allowed));
        if prompt && !is_news {
            self.budget
                .back_off(&self.settings, None, &mut self.rng, now);
        } else {
            self.budget.succeeded();
        }
        self.draw_read_jitter();
        self.reader.down = false;
        self.start.platform_answered(index.revision);
        // A stale replica answers as well. Counting its answer as a confirmation would hide from
        // the operator that changes aren't received.
        if index.revision >= self.held.revision {
            self.reader.confirmed_at = Some(now);
        }
        self.report_if_behind(index.revision);
        let revision = index.revision;
        self.reader.take_index(index);
        if self.fetch.is_none() && revision >= self.held.revision {
            self.fetch_from_platform();
        }
    }

    /// Randomizes the read interval, to spread the reads of many instances that started together.
    fn draw_read_jitter(&mut self) {
        let span = self.settings.read_interval.0 / 4;
        self.reader.jitter = Millis(self.rng.random_range(0..=span));
    }

    fn report_if_behind(&mut self, platform: u64) {
        let held = self.held.revision;
        let behind = platform < held;
        if behind && !self.reader.behind {
            self.report(SpreadFinding::PlatformBehind { platform, held });
        }
        self.reader.behind = behind;
    }

    fn on_index_failed(&mut self, failed: ReadFailed, now: Millis) {
        self.reader.pending_read = None;
        self.start.platform_failed();
        self.budget
            .back_off(&self.settings, failed.retry_after, &mut self.rng, now);
        if failed.retry_after.is_none() && !self.reader.down {
            self.reader.down = true;
            self.report(SpreadFinding::PlatformDown);
        }
    }

    /// Starts a fetch of the parts in the platform's latest index that this instance doesn't hold.
    pub(super) fn fetch_from_platform(&mut self) {
        let Some(index) = &self.reader.latest_index else {
            return;
        };
        let teams: Vec<&Arc<str>> = index.parts.iter().map(|entry| &entry.team).collect();
        let mut fetch = Fetch::new(Source::Platform, index.revision, 0);
        fetch.list_complete = true;
        fetch.staged = self.held.missing(&teams, index.revision);
        for entry in &index.parts {
            let known = self.held.part(&entry.team);
            if known.is_some_and(|part| part.head.revision >= entry.revision) {
                continue;
            }
            if let Some(part) = self.saved_part(&entry.team, entry.revision) {
                fetch.staged.push(part.clone());
                continue;
            }
            fetch.wanted.push(WantedPart {
                team: entry.team.clone(),
                revision: entry.revision,
            });
        }
        let nothing = fetch.wanted.is_empty() && fetch.staged.is_empty();
        if !nothing || index.revision > self.held.revision {
            self.fetch = Some(fetch);
        }
    }

    pub(super) fn ask_platform(&mut self, now: Millis) {
        if !self.budget.take(now) {
            return;
        }
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let Some(want) = fetch.wanted.first() else {
            return;
        };
        fetch.asked_at = Some(now);
        let team = want.team.clone();
        self.act(SpreadAction::ReadPart(team));
    }

    fn on_part(&mut self, team: &Arc<str>, part: &PartText, now: Millis) {
        let limit = self.settings.max_part_bytes;
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let Some(want) = fetch.wanted.iter().find(|want| want.team == *team) else {
            return;
        };
        if fetch.source != Source::Platform {
            return;
        }
        if part.text.len() > limit {
            self.skip(team);
            return;
        }
        if part.revision >= want.revision {
            self.failed_reads.remove(team);
            self.stage(Part::new(team, part.revision, &part.text));
            return;
        }
        // The index came from a newer replica than the text: storing the old text under the new
        // revision would put a reverted part in force.
        fetch.asked_at = None;
        fetch.stale_answers += 1;
        if fetch.stale_answers >= MAX_STALE_ANSWERS {
            self.abandon();
        }
        self.budget
            .back_off(&self.settings, None, &mut self.rng, now);
    }

    /// Retries a part that can't be read one more time, then continues without it and requests it
    /// again after the next index read. A part that the platform can't return must not delay the
    /// changes of other teams.
    fn on_part_failed(&mut self, team: &Arc<str>, failed: ReadFailed, now: Millis) {
        self.budget
            .back_off(&self.settings, failed.retry_after, &mut self.rng, now);
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        if fetch.source != Source::Platform {
            return;
        }
        let tries = self.failed_reads.entry(team.clone()).or_default();
        *tries += 1;
        // A fetch that received nothing is abandoned: if no part can be read, the platform is at
        // fault, and a new instance would put an empty configuration in force.
        let is_last = fetch.staged.is_empty() && fetch.wanted.len() <= 1;
        if failed.retry_after.is_some() || *tries < MAX_READ_ATTEMPTS || is_last {
            self.abandon();
            return;
        }
        fetch.skip(team);
        self.report(SpreadFinding::Unread(team.clone()));
    }
}
