//! Quarantine of requests that end the processes of the servers that run them.
//!
//! Such a request crashes each server that starts to run it, along with everything else that runs
//! there, and its caller sends it again to any instance and under another name. Each retry looks
//! like an independent request.
//!
//! A run that is cut makes its request a suspect once there is evidence that the server's process
//! has ended. Evidence is needed because a reset, a lost answer and the end of the process look the
//! same to the instance that waits for the answer. Everything that ran on the server becomes
//! suspect with it, and further runs tell the requests apart: a run that succeeds, shortly before
//! or afterwards, clears its request, and a run whose server ends again is counted. After
//! [`QuarantineSettings::limit`] such runs, one after the other, the request is quarantined.
//!
//! Instances exchange their suspicions. These can be merged in any order and received repeatedly:
//! for each request, they are a set of ended servers and whether the request was served afterwards.

mod fingerprint;
mod record;
mod served;

use std::collections::HashMap;

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use self::fingerprint::Fingerprint;
pub use self::fingerprint::RequestContent;
use self::record::End;
use self::record::Record;
use self::served::RecentlyServed;

/// One incarnation of a server's process, as a hash of its identity and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Settings of a [`Quarantine`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Number of consecutive runs with ended servers from which on a request is quarantined. One
    /// end makes everything that ran there a suspect; a second end under the same request is hardly
    /// a coincidence.
    pub limit: usize,
    /// Initial duration of a quarantine. Each further end doubles it, up to a factor of sixteen.
    pub span: Millis,
    /// How long after a run was cut the end of its server still counts. This covers the expiry of a
    /// registry's lease and the next read of the registry.
    pub evidence: Millis,
    /// Ends of servers within this time may have a common cause.
    pub burst: Millis,
    /// Number of requests that ran on several servers which ended in that time, from which on the
    /// cause isn't one of them.
    pub common_suspects: usize,
    /// Maximum number of remembered requests.
    pub capacity: usize,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            limit: 2,
            span: Millis::from_secs(600),
            evidence: Millis::from_secs(6),
            burst: Millis::from_secs(2),
            common_suspects: 5,
            capacity: 1024,
        }
    }
}

/// A run of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's content.
    pub content: Fingerprint,
    /// The server that ran it.
    pub server: Incarnation,
    /// When the request was sent.
    pub sent: Millis,
}

/// The refusal of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRefusal {
    /// Time until the request may be retried.
    pub retry_after: Millis,
    /// Consecutive runs whose servers ended.
    pub ends: usize,
}

/// A newly quarantined request, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// The request's content.
    pub content: Fingerprint,
    /// The remembered servers that ended while running it.
    pub servers: Vec<Incarnation>,
    /// Duration of the quarantine.
    pub span: Millis,
}

/// A suspect request as reported to other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request's content.
    pub content: Fingerprint,
    /// The servers that ended while running it.
    pub ends: Vec<ReportedEnd>,
}

/// The end of a server that ran a suspect request, with ages instead of times so that it is valid
/// on any clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The server.
    pub server: Incarnation,
    /// How long ago the request was sent to it, in milliseconds.
    pub sent_ago: u32,
    /// How long ago the run was cut, in milliseconds.
    pub ended_ago: u32,
    /// Whether the request was served afterwards.
    pub cleared: bool,
}

/// A run that was cut, without knowing whether its server ended.
#[derive(Clone, Copy, Debug)]
struct CutRun {
    run: Run,
    at: Millis,
    /// Whether the server has been checked since without proof that it ended.
    inconclusive: bool,
}

/// Maximum number of cut runs that wait for evidence: some hundred streams on each of several
/// servers.
const MAX_PENDING_CUTS: usize = 2048;

/// Maximum size of a report in bytes. It fits into one packet on all common networks.
const MAX_REPORT_BYTES: usize = 1300;

/// One instance's knowledge of the requests that end servers.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: HashMap<Fingerprint, Record>,
    cuts: Vec<CutRun>,
    /// Servers that ended recently, and when. Cuts of their runs may be noticed later.
    ended: HashMap<Incarnation, Millis>,
    newly_quarantined: Vec<Quarantined>,
    served: RecentlyServed,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        Quarantine::new(QuarantineSettings::default())
    }
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(settings: QuarantineSettings) -> Quarantine {
        Quarantine {
            settings,
            records: HashMap::new(),
            cuts: Vec::new(),
            ended: HashMap::new(),
            newly_quarantined: Vec::new(),
            served: RecentlyServed::default(),
        }
    }

    /// Checks whether a request may be sent to a server.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is quarantined.
    pub fn admit(&self, content: Fingerprint, now: Millis) -> Result<(), QuarantineRefusal> {
        let Some(record) = self.records.get(&content) else {
            return Ok(());
        };
        let ends = self.unexplained_ends(record);
        let until = record.quarantined_until(ends, &self.settings);
        let left = until.map_or(0, |until| until - signed(now));
        if left <= 0 {
            return Ok(());
        }
        Err(QuarantineRefusal {
            retry_after: Millis(left.unsigned_abs()),
            ends,
        })
    }

    /// Returns the number of ends counted against a request that no more severe suspect explains.
    ///
    /// A request that ends servers takes down other requests that happen to run there, possibly the
    /// same one twice. But it ran on more of the ended servers than any of the others.
    fn unexplained_ends(&self, record: &Record) -> usize {
        let ends = record.consecutive_ends();
        let limit = self.settings.limit;
        if ends < limit {
            return ends;
        }
        let graver = self.records.values().filter(|other| {
            other.open_ends() > record.open_ends() && other.consecutive_ends() >= limit
        });
        let explained: Vec<Incarnation> = graver.flat_map(Record::servers).collect();
        let burst = signed(self.settings.burst);
        record.unexplained(&explained, burst, |ends, at| {
            self.had_common_cause(ends, at)
        })
    }

    /// Whether servers that ended around `at` had another cause than the requests of which each
    /// stands under `ends` of the ends.
    ///
    /// A request that ends servers in series takes few others with it each time, as these are sent
    /// to different servers after the first end. If the servers end for another reason, everything
    /// that ran on the first one is sent again, and much of it to the next ones.
    fn had_common_cause(&self, ends: usize, at: i64) -> bool {
        let burst = signed(self.settings.burst);
        let records = self.records.values();
        let mut suspects =
            records.filter(|record| record.ends_between(at - burst, at + burst) >= ends);
        suspects.nth(self.settings.common_suspects - 1).is_some()
    }

    /// Records that a server cut a run. Returns whether the caller should check if the server still
    /// exists, because no check is in progress. Report the result to [`Quarantine::server_ended`]
    /// or [`Quarantine::mark_inconclusive`].
    pub fn run_cut(&mut self, run: Run, now: Millis) -> bool {
        self.forget_cuts(now);
        if let Some(ended) = self.ended.get(&run.server) {
            if run.sent < *ended {
                self.count_end(run, now, now);
            }
            return false;
        }
        let mut open = self.cuts.iter().filter(|cut| !cut.inconclusive);
        let first = open.find(|cut| cut.run.server == run.server);
        // If the server had ended at the first cut, later requests never reached it.
        let sent_after = first.is_some_and(|cut| cut.at <= run.sent);
        let check_pending = first.is_some();
        if !sent_after && self.cuts.len() < MAX_PENDING_CUTS {
            self.cuts.push(CutRun {
                run,
                at: now,
                inconclusive: false,
            });
        }
        !check_pending
    }

    /// Records that a check didn't prove the server's end. Its next cut is checked again, because a
    /// server that resets a connection may end a second later.
    pub fn mark_inconclusive(&mut self, server: Incarnation) {
        for cut in &mut self.cuts {
            cut.inconclusive |= cut.run.server == server;
        }
    }

    /// Records evidence that a server's process has ended without announcing it. Returns the number
    /// of requests that become suspect.
    pub fn server_ended(&mut self, server: Incarnation, now: Millis) -> usize {
        self.forget_cuts(now);
        let cuts = std::mem::take(&mut self.cuts);
        let (matching, others): (Vec<CutRun>, Vec<CutRun>) =
            cuts.into_iter().partition(|cut| cut.run.server == server);
        self.cuts = others;
        let first = matching.iter().map(|cut| (cut.inconclusive, cut.at)).min();
        self.ended.insert(server, first.map_or(now, |(_, at)| at));
        for cut in &matching {
            self.count_end(cut.run, cut.at, now);
        }
        matching.len()
    }

    /// Records that a request was served without ending its server. Returns whether it was
    /// quarantined until now.
    pub fn served(&mut self, content: Fingerprint, now: Millis) -> bool {
        // If the end of a server is noticed later, it happened before this success.
        self.cuts.retain(|cut| cut.run.content != content);
        self.served.insert(content, now);
        let quarantined = self.admit(content, now).is_err();
        let record = self.records.get_mut(&content);
        record.is_some_and(Record::clear) && quarantined
    }

    /// Merges a suspicion that another instance reported.
    pub fn apply_suspicion(&mut self, suspicion: &Suspicion, now: Millis) {
        let ends = suspicion.ends.iter().map(|reported| End {
            server: reported.server,
            sent: signed(now) - i64::from(reported.sent_ago),
            ended: signed(now) - i64::from(reported.ended_ago),
            cleared: reported.cleared,
        });
        self.merge(suspicion.content, ends.collect(), now);
    }

    /// Returns the suspicions that other instances may not know yet, the most severe first.
    pub fn unsent_suspicions(&mut self, now: Millis) -> Vec<Suspicion> {
        let fresh = self
            .records
            .iter()
            .filter(|(_, record)| record.needs_gossip());
        let chosen = select_for_report(fresh, now);
        for suspicion in &chosen {
            if let Some(record) = self.records.get_mut(&suspicion.content) {
                record.mark_sent();
            }
        }
        chosen
    }

    /// Returns the suspicions for an instance that may know nothing yet, the most severe first.
    pub fn all_suspicions(&self, now: Millis) -> Vec<Suspicion> {
        let open = self.records.iter();
        select_for_report(
            open.filter(|(_, record)| record.consecutive_ends() > 0),
            now,
        )
    }

    /// Returns the requests quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<Quarantined> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let contents = self.records.keys();
        let quarantined = contents.filter(|content| self.admit(**content, now).is_err());
        quarantined.count()
    }

    /// Drops expired state.
    pub fn expire(&mut self, now: Millis) {
        self.forget_cuts(now);
        let settings = &self.settings;
        self.records
            .retain(|_, record| record.expires_at(settings) > signed(now));
    }

    fn forget_cuts(&mut self, now: Millis) {
        let span = self.settings.evidence;
        self.cuts.retain(|cut| now.since(cut.at) < span);
        self.ended.retain(|_, at| now.since(*at) < span);
    }

    fn count_end(&mut self, run: Run, cut: Millis, now: Millis) {
        let end = End {
            server: run.server,
            sent: signed(run.sent),
            ended: signed(cut),
            cleared: false,
        };
        self.merge(run.content, vec![end], now);
    }

    fn merge(&mut self, content: Fingerprint, mut ends: Vec<End>, now: Millis) {
        // Many callers may send the same request, and a copy of it runs on each server that ends
        // for another reason. Quarantining it would refuse all of them for minutes.
        if self.served.contains(content, now) {
            for end in &mut ends {
                end.cleared = true;
            }
        }
        if !self.records.contains_key(&content) {
            self.make_room();
        }
        let was_quarantined = self.admit(content, now).is_err();
        let record = self.records.entry(content).or_default();
        record.merge(ends);
        let servers = record.servers();
        if let (false, Err(refusal)) = (was_quarantined, self.admit(content, now)) {
            self.newly_quarantined.push(Quarantined {
                content,
                servers,
                span: refusal.retry_after,
            });
        }
    }

    /// Drops the least important record. Only ended servers create records, so a flood of requests
    /// evicts none, and quarantined requests are evicted last.
    fn make_room(&mut self) {
        if self.records.len() < self.settings.capacity {
            return;
        }
        let records = self.records.iter();
        let least =
            records.min_by_key(|(_, record)| (record.consecutive_ends(), record.last_end()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Returns as many of the records as fit into a packet, the most severe and latest first.
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

/// Converts a time to a signed number, since an end reported by another instance may lie before the
/// start of this instance's clock.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
