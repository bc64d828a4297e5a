//! Table of the known members.

use std::collections::BTreeMap;

use crocushold_base::Millis;
use twox_hash::XxHash3_64;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::ring;
use crate::member::ring::Positions;
use crate::message::BUCKETS;
use crate::message::Status;
use crate::message::Update;

/// A running suspicion.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When it started.
    pub(crate) since: Millis,
    /// Hashes of the instances that reported it.
    pub(crate) origins: Vec<u32>,
    /// When this instance sent the final probe before declaring the member dead.
    pub(crate) final_probe: Option<Millis>,
}

impl Suspicion {
    /// Returns the suspicion with its timeout restarted at `now`.
    pub(crate) fn restarted(&self, now: Millis) -> Suspicion {
        Suspicion {
            since: now,
            origins: self.origins.clone(),
            final_probe: None,
        }
    }
}

/// A known member.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) instance: Instance,
    pub(crate) incarnation: Incarnation,
    pub(crate) status: Status,
    pub(crate) changed: Millis,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) positions: Positions,
}

impl Record {
    /// Returns the record as an update.
    pub(crate) fn update(&self, origin: u32) -> Update {
        Update {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            status: self.status,
            origin,
        }
    }
}

/// Result of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The table already has a newer state.
    Stale,
    /// The table changed.
    Changed,
    /// The table is full.
    Full,
}

/// Members by name, with digests of the live ones.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: BTreeMap<InstanceId, Record>,
    digests: [u64; BUCKETS],
    live: usize,
}

impl Table {
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&Record> {
        self.records.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Record> {
        self.records.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the live members, ordered by name.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Record> {
        self.iter().filter(|record| record.status.is_live())
    }

    /// Returns the number of live members.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the digests of the live members by bucket.
    pub(crate) fn digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// Returns the digest of all live members. It is never zero, as zero means "unknown" on the
    /// wire.
    pub(crate) fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|d| d.to_le_bytes()).collect();
        XxHash3_64::oneshot(&bytes).max(1)
    }

    /// Returns the members of the buckets whose digests differ from `theirs`, including dead ones.
    /// An instance that missed a death and doesn't probe the dead member itself would consider it
    /// alive forever if only live members were returned.
    pub(crate) fn differing(&self, theirs: &[u64]) -> Vec<&Record> {
        let differs: Vec<bool> = (0..BUCKETS)
            .map(|bucket| theirs.get(bucket) != Some(&self.digests[bucket]))
            .collect();
        self.iter()
            .filter(|record| differs[bucket(&record.instance.id)])
            .collect()
    }

    /// Applies an update if it is newer than what is known; `limit` bounds the table.
    pub(crate) fn merge(&mut self, update: &Update, limit: usize, now: Millis) -> MergeOutcome {
        let Some(known) = self.records.get(&update.instance.id) else {
            return self.insert(update, limit, now);
        };
        let newer = (update.incarnation, update.status) > (known.incarnation, known.status);
        if !newer {
            return MergeOutcome::Stale;
        }
        self.replace(update, now);
        MergeOutcome::Changed
    }

    fn insert(&mut self, update: &Update, limit: usize, now: Millis) -> MergeOutcome {
        if self.records.len() >= limit && !self.evict() {
            return MergeOutcome::Full;
        }
        self.replace(update, now);
        MergeOutcome::Changed
    }

    /// Removes the member that has been dead for longest to make room.
    fn evict(&mut self) -> bool {
        let oldest = self
            .iter()
            .filter(|record| !record.status.is_live())
            .min_by_key(|record| record.changed)
            .map(|record| record.instance.id.clone());
        oldest.is_some_and(|id| self.records.remove(&id).is_some())
    }

    fn replace(&mut self, update: &Update, now: Millis) {
        let id = update.instance.id.clone();
        let record = Record {
            instance: update.instance.clone(),
            incarnation: update.incarnation,
            status: update.status,
            changed: now,
            suspicion: suspicion(update, now),
            positions: ring::positions(&id),
        };
        if let Some(old) = self.records.get(&id).cloned() {
            self.toggle_digest(&old, false);
        }
        self.toggle_digest(&record, true);
        self.records.insert(id, record);
    }

    /// Adds a live record to the digests, or removes it.
    fn toggle_digest(&mut self, record: &Record, add: bool) {
        if !record.status.is_live() {
            return;
        }
        let id = &record.instance.id;
        self.digests[bucket(id)] ^= ring::hash_id(record.incarnation.start, id);
        self.live = if add { self.live + 1 } else { self.live - 1 };
    }

    /// Removes members that have been dead for longer than `age`.
    pub(crate) fn expire(&mut self, age: Millis, now: Millis) {
        self.records
            .retain(|_, record| record.status.is_live() || now.since(record.changed) < age);
    }
}

fn suspicion(update: &Update, now: Millis) -> Option<Suspicion> {
    (update.status == Status::Suspect).then(|| Suspicion {
        since: now,
        origins: vec![update.origin],
        final_probe: None,
    })
}

fn bucket(id: &InstanceId) -> usize {
    ring::hash_id(0, id) as usize % BUCKETS
}
