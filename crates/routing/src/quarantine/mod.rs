//! Requests under which servers end, kept from the servers that are left.
//!
//! The load it answers: a request crashes each server that begins to run it, with all that runs there beside it,
//! and its caller sends it again, to any instance and under another name. Each try looks like a request of its own.
//!
//! A run that is cut makes its request a suspect once there is evidence that the server's process has ended, since a
//! reset, a lost answer and an end look alike to the one that waits for it. All that ran there becomes suspect with
//! it. What tells them apart is other runs: one that ended well, lately or after, clears its request, and one whose
//! server ends again is counted. From [`QuarantineSettings::limit`] such runs on, one after the other, the request is
//! held back.
//!
//! Instances tell each other of suspects. What they tell merges in any order and may be heard twice: a set of ended
//! servers for each request, and whether it was served after.

mod fingerprint;
mod record;
mod served;

use std::collections::HashMap;

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use self::fingerprint::Fingerprint;
use self::record::End;
use self::record::Record;
use self::served::Served;

/// One life of a server's process, as a hash of its identity and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Settings of a [`Quarantine`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Runs, one after the other, whose servers ended, from which on a request is held back. One end makes suspects
    /// of all that ran there; a second one under the same request is hardly chance.
    pub limit: usize,
    /// How long a request is held back at first. Each further end doubles it, up to sixteen times.
    pub span: Millis,
    /// How long after a run was cut its server's end counts: until a registry's lease has lapsed and that was read.
    pub evidence: Millis,
    /// Requests that are remembered at most.
    pub capacity: usize,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            limit: 2,
            span: Millis::from_secs(600),
            evidence: Millis::from_secs(6),
            capacity: 1024,
        }
    }
}

/// A run of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// What was asked.
    pub content: Fingerprint,
    /// Where it ran.
    pub server: Incarnation,
    /// When it was sent.
    pub sent: Millis,
}

/// A request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// When it may come back.
    pub retry_after: Millis,
    /// Runs, one after the other, whose servers ended.
    pub ends: usize,
}

/// A request that is held back from now on, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// What is asked.
    pub content: Fingerprint,
    /// The servers that ended under it, as far as they are remembered.
    pub servers: Vec<Incarnation>,
    /// For how long it is held back.
    pub span: Millis,
}

/// What one instance tells others of a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// What is asked.
    pub content: Fingerprint,
    /// The servers that ended under it.
    pub ends: Vec<ReportedEnd>,
}

/// The end of a server under a request, with times that hold at any clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// Which server.
    pub server: Incarnation,
    /// How long ago the request was sent there, in milliseconds.
    pub sent_ago: u32,
    /// How long ago its run was cut, in milliseconds.
    pub ended_ago: u32,
    /// Whether the request was served after.
    pub cleared: bool,
}

/// A run that was cut; whether its server ended isn't known.
#[derive(Clone, Copy, Debug)]
struct Cut {
    run: Run,
    at: Millis,
    /// Whether its server was looked for since, and may live.
    undecided: bool,
}

/// Cuts that wait for evidence at most: those of some hundred streams at each of several servers.
const MOST_CUTS: usize = 2048;

/// Bytes of what is told at once: one packet on every usual network.
const MOST_BYTES: usize = 1300;

/// Which requests servers ended under, as one instance knows it.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: HashMap<Fingerprint, Record>,
    cuts: Vec<Cut>,
    /// Servers that ended lately, and when: cuts of their runs may be noticed later.
    ended: HashMap<Incarnation, Millis>,
    placed: Vec<Quarantined>,
    served: Served,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine::new(QuarantineSettings::default())
    }
}

impl Quarantine {
    /// Suspects nothing.
    pub fn new(settings: QuarantineSettings) -> Quarantine {
        Quarantine {
            settings,
            records: HashMap::new(),
            cuts: Vec::new(),
            ended: HashMap::new(),
            placed: Vec::new(),
            served: Served::default(),
        }
    }

    /// Whether a request may be sent to a server.
    ///
    /// # Errors
    ///
    /// It is held back, as servers ended under it.
    pub fn admit(&self, content: Fingerprint, now: Millis) -> Result<(), Held> {
        let Some(record) = self.records.get(&content) else {
            return Ok(());
        };
        let ends = self.unexplained_ends(record);
        let until = record.held_until(ends, &self.settings);
        let left = until.map_or(0, |until| until - signed(now));
        if left <= 0 {
            return Ok(());
        }
        Err(Held {
            retry_after: Millis(left.unsigned_abs()),
            ends,
        })
    }

    /// How many ends are held against a request that no graver one explains.
    ///
    /// A request that ends servers takes others with it that happen to be there, and may take the same one twice. It
    /// was on more of the servers that ended than any of them.
    fn unexplained_ends(&self, record: &Record) -> usize {
        let ends = record.ends_in_turn();
        let limit = self.settings.limit;
        if ends < limit {
            return ends;
        }
        let graver = self.records.values().filter(|other| {
            other.open_ends() > record.open_ends() && other.ends_in_turn() >= limit
        });
        let explained: Vec<Incarnation> = graver.flat_map(Record::servers).collect();
        record.unexplained(&explained)
    }

    /// A run was cut by its server. Returns whether to look if the server is still there: nobody does yet. What is
    /// found is told to [`Quarantine::server_ended`] or [`Quarantine::mark_inconclusive`].
    pub fn run_cut(&mut self, run: Run, now: Millis) -> bool {
        self.forget_cuts(now);
        if let Some(ended) = self.ended.get(&run.server) {
            if run.sent < *ended {
                self.count(run, now, now);
            }
            return false;
        }
        let mut open = self.cuts.iter().filter(|cut| !cut.undecided);
        let first = open.find(|cut| cut.run.server == run.server);
        // If the server had ended at the first cut, what was sent after it found no server.
        let sent_after = first.is_some_and(|cut| cut.at <= run.sent);
        let looked_for = first.is_some();
        if !sent_after && self.cuts.len() < MOST_CUTS {
            self.cuts.push(Cut {
                run,
                at: now,
                undecided: false,
            });
        }
        !looked_for
    }

    /// A server was looked for and may live. Its next cut is looked into anew: a server that resets a connection
    /// may end a second later.
    pub fn mark_inconclusive(&mut self, server: Incarnation) {
        for cut in &mut self.cuts {
            cut.undecided |= cut.run.server == server;
        }
    }

    /// There is evidence that a server's process has ended without having said so before. Returns how many requests
    /// it makes suspect.
    pub fn server_ended(&mut self, server: Incarnation, now: Millis) -> usize {
        self.forget_cuts(now);
        let cuts = std::mem::take(&mut self.cuts);
        let (its, others): (Vec<Cut>, Vec<Cut>) =
            cuts.into_iter().partition(|cut| cut.run.server == server);
        self.cuts = others;
        let first = its.iter().map(|cut| (cut.undecided, cut.at)).min();
        self.ended.insert(server, first.map_or(now, |(_, at)| at));
        for cut in &its {
            self.count(cut.run, cut.at, now);
        }
        its.len()
    }

    /// A request was served whole: no server ended under it this time. Returns whether it was held back until now.
    pub fn served(&mut self, content: Fingerprint, now: Millis) -> bool {
        // The end of a server that is noticed later came before this.
        self.cuts.retain(|cut| cut.run.content != content);
        self.served.note(content, now);
        let held = self.admit(content, now).is_err();
        let record = self.records.get_mut(&content);
        record.is_some_and(Record::clear) && held
    }

    /// Another instance tells of a suspect.
    pub fn apply_suspicion(&mut self, suspicion: &Suspicion, now: Millis) {
        let ends = suspicion.ends.iter().map(|told| End {
            server: told.server,
            sent: signed(now) - i64::from(told.sent_ago),
            ended: signed(now) - i64::from(told.ended_ago),
            cleared: told.cleared,
        });
        self.merge(suspicion.content, ends.collect(), now);
    }

    /// What to tell others that they may not know yet, the gravest first.
    pub fn unsent_suspicions(&mut self, now: Millis) -> Vec<Suspicion> {
        let fresh = self.records.iter().filter(|(_, record)| record.is_news());
        let chosen = told(fresh, now);
        for suspicion in &chosen {
            if let Some(record) = self.records.get_mut(&suspicion.content) {
                record.told();
            }
        }
        chosen
    }

    /// What to tell one who may know nothing, the gravest first.
    pub fn all_suspicions(&self, now: Millis) -> Vec<Suspicion> {
        let open = self.records.iter();
        told(open.filter(|(_, record)| record.ends_in_turn() > 0), now)
    }

    /// The requests that are held back since the last call.
    pub fn take_quarantined(&mut self) -> Vec<Quarantined> {
        std::mem::take(&mut self.placed)
    }

    /// How many requests are held back.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let contents = self.records.keys();
        let held = contents.filter(|content| self.admit(**content, now).is_err());
        held.count()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.forget_cuts(now);
        let settings = &self.settings;
        self.records
            .retain(|_, record| record.kept_until(settings) > signed(now));
    }

    fn forget_cuts(&mut self, now: Millis) {
        let span = self.settings.evidence;
        self.cuts.retain(|cut| now.since(cut.at) < span);
        self.ended.retain(|_, at| now.since(*at) < span);
    }

    fn count(&mut self, run: Run, cut: Millis, now: Millis) {
        let end = End {
            server: run.server,
            sent: signed(run.sent),
            ended: signed(cut),
            cleared: false,
        };
        self.merge(run.content, vec![end], now);
    }

    fn merge(&mut self, content: Fingerprint, mut ends: Vec<End>, now: Millis) {
        // Many callers may ask the same, and one of them is on each server that ends for another reason. Held back,
        // all of them would be refused for minutes.
        if self.served.holds(content, now) {
            for end in &mut ends {
                end.cleared = true;
            }
        }
        if !self.records.contains_key(&content) {
            self.make_room();
        }
        let before = self.admit(content, now).is_err();
        let record = self.records.entry(content).or_default();
        record.merge(ends);
        let servers = record.servers();
        if let (false, Err(held)) = (before, self.admit(content, now)) {
            self.placed.push(Quarantined {
                content,
                servers,
                span: held.retry_after,
            });
        }
    }

    /// Drops the record that matters least. Records come from servers that ended alone, so that a flood of requests
    /// drops none; and those that are held back go last.
    fn make_room(&mut self) {
        if self.records.len() < self.settings.capacity {
            return;
        }
        let records = self.records.iter();
        let least = records.min_by_key(|(_, record)| (record.ends_in_turn(), record.last_end()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// As many of the records as a packet holds, the gravest and latest first.
fn told<'a>(
    records: impl Iterator<Item = (&'a Fingerprint, &'a Record)>,
    now: Millis,
) -> Vec<Suspicion> {
    let mut records: Vec<_> = records.collect();
    records.sort_unstable_by_key(|(_, record)| (record.ends_in_turn(), record.last_end()));
    let mut bytes = 0;
    let fitting = records.into_iter().rev().take_while(|(_, record)| {
        bytes += record.told_bytes();
        bytes <= MOST_BYTES
    });
    let suspicions = fitting.map(|(content, record)| Suspicion {
        content: *content,
        ends: record.tell(signed(now)),
    });
    suspicions.collect()
}

/// Times as signed numbers: an end that another instance tells of may lie before the start of this one's clock.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
