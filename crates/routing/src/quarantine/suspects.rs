//! The records of all suspects of one kind.

use std::collections::HashMap;

use crocushold_base::Millis;

use super::Fingerprint;
use super::Suspicion;
use super::record::End;
use super::record::Record;
use super::signed;

/// Maximum size of a report in bytes. It fits into one packet on all common networks.
const MAX_REPORT_BYTES: usize = 1300;

/// The records of all suspects of one kind.
#[derive(Debug)]
pub(super) struct Suspects {
    /// Number of consecutive ends from which on a suspect is quarantined.
    pub(super) limit: usize,
    capacity: usize,
    records: HashMap<Fingerprint, Record>,
}

impl Suspects {
    pub(super) fn new(limit: usize, capacity: usize) -> Suspects {
        Suspects {
            limit,
            capacity,
            records: HashMap::new(),
        }
    }

    pub(super) fn get(&self, content: Fingerprint) -> Option<&Record> {
        self.records.get(&content)
    }

    pub(super) fn get_mut(&mut self, content: Fingerprint) -> Option<&mut Record> {
        self.records.get_mut(&content)
    }

    /// Clears the ends of a suspect before a time. Returns whether any of them counted against it.
    pub(super) fn clear_before(&mut self, content: Fingerprint, time: i64, now: Millis) -> bool {
        let Some(record) = self.records.get_mut(&content) else {
            return false;
        };
        let changed = record.clear_before(time);
        record.update_grave(self.limit, signed(now));
        changed
    }

    pub(super) fn contents(&self) -> impl Iterator<Item = Fingerprint> {
        self.records.keys().copied()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The suspects that stand under as many ends as are needed for a quarantine.
    pub(super) fn grave(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let records = self.records.iter();
        let grave = records.filter(|(_, record)| record.consecutive_ends() >= self.limit);
        grave.map(|(content, record)| (*content, record))
    }

    /// Merges ends into the record of a suspect.
    pub(super) fn merge(&mut self, content: Fingerprint, ends: Vec<End>, now: Millis) {
        if !self.records.contains_key(&content) {
            self.make_room();
        }
        let record = self.records.entry(content).or_default();
        record.merge(ends);
        record.update_grave(self.limit, signed(now));
    }

    /// Keeps the records that expire after `now`.
    pub(super) fn expire(&mut self, span: Millis, now: i64) {
        let limit = self.limit;
        self.records
            .retain(|_, record| record.expires_at(span, limit) > now);
    }

    /// Drops the least important record. Only ended servers create records, so a flood of requests
    /// evicts none, and quarantined suspects are evicted last.
    fn make_room(&mut self) {
        if self.records.len() < self.capacity {
            return;
        }
        let records = self.records.iter();
        let least =
            records.min_by_key(|(_, record)| (record.consecutive_ends(), record.last_end()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }

    /// Returns what other instances may not know yet, the gravest first, and counts it as sent.
    pub(super) fn take_news(&mut self, now: Millis) -> Vec<Suspicion> {
        let records = self.records.iter();
        let news = select_for_report(records.filter(|(_, record)| record.needs_gossip()), now);
        for suspicion in &news {
            if let Some(record) = self.records.get_mut(&suspicion.content) {
                record.mark_sent();
            }
        }
        news
    }

    /// Returns the ends that a report holds against a suspect and that are cleared here, if there are any.
    pub(super) fn contradiction(&self, reported: &Suspicion, now: Millis) -> Option<Suspicion> {
        let record = self.records.get(&reported.content)?;
        let is_held = |server| {
            let mut open = reported.ends.iter().filter(|end| !end.cleared);
            open.any(|end| end.server == server)
        };
        let mut ends = record.report(signed(now));
        ends.retain(|end| end.cleared && is_held(end.server));
        (!ends.is_empty()).then_some(Suspicion {
            content: reported.content,
            ends,
        })
    }

    /// Returns all open suspicions, the gravest first, as far as they fit into a packet.
    pub(super) fn open(&self, now: Millis) -> Vec<Suspicion> {
        let records = self.records.iter();
        let open = records.filter(|(_, record)| record.consecutive_ends() > 0);
        select_for_report(open, now)
    }
}

/// Returns as many of the records as fit into a packet, the gravest and latest first.
fn select_for_report<'a>(
    records: impl Iterator<Item = (&'a Fingerprint, &'a Record)>,
    now: Millis,
) -> Vec<Suspicion> {
    let mut records: Vec<_> = records.collect();
    records.sort_unstable_by_key(|(_, record)| (record.consecutive_ends(), record.last_end()));
    let mut bytes = 0;
    let fitting = records.into_iter().rev().take_while(|(_, record)| {
        bytes += record.encoded_bytes();
        bytes <= MAX_REPORT_BYTES
    });
    let suspicions = fitting.map(|(content, record)| Suspicion {
        content: *content,
        ends: record.report(signed(now)),
    });
    suspicions.collect()
}
