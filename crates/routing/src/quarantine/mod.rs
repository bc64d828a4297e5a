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
//! [`QuarantineSettings::limit`] such runs, one after the other, the request is quarantined. One more run is
//! a trial of a request that was never served.
//!
//! A part of a prompt may crash servers as well, in requests of which no two are alike. The shared
//! parts of the prompts are suspects of their own, which nearly always overlap: what a part has in
//! common with others is told apart by answers that began after the end of a server, and by requests
//! that have only some of the suspects.
//!
//! Instances exchange their suspicions. These can be merged in any order and received repeatedly:
//! for each request, they are a set of ended servers and whether the request was served afterwards.

mod fingerprint;
mod record;
mod served;
mod settings;
mod settlement;
mod suspects;
mod trial;
mod verdict;

use std::collections::HashMap;
use std::collections::HashSet;

use crocushold_base::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use self::fingerprint::Fingerprint;
pub use self::fingerprint::RequestContent;
use self::record::End;
use self::record::Record;
use self::served::RecentlyServed;
pub use self::settings::QuarantineSettings;
pub use self::settings::SURVIVAL;
pub use self::settlement::Passage;
pub use self::settlement::SettlementWait;
use self::suspects::Suspects;
use self::trial::Instances;

/// One incarnation of a server's process, as a hash of its identity and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A run of a request at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// What was asked.
    pub content: RequestContent,
    /// The server that ran it.
    pub server: Incarnation,
    /// When the request was sent.
    pub sent: Millis,
    /// When the head of its answer arrived, if it did.
    pub began: Option<Millis>,
    /// When the first piece of the body of its answer arrived, if one did.
    pub writing: Option<Millis>,
}

/// What is suspected of ending servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A whole request.
    Request,
    /// A part of a prompt.
    Part,
}

/// The refusal of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRefusal {
    /// Time until the request may be retried.
    pub retry_after: Millis,
    /// Consecutive runs whose servers ended.
    pub ends: usize,
}

/// A newly quarantined request or part, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// Whether it is a request or a part.
    pub kind: SuspectKind,
    /// Its content.
    pub content: Fingerprint,
    /// The remembered servers that ended while running it.
    pub servers: Vec<Incarnation>,
    /// Duration of the quarantine.
    pub span: Millis,
}

/// A suspect request or part as reported to other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Its content.
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
    /// Whether it was served afterwards.
    pub cleared: bool,
}

/// A request or part that was served of late, as reported to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedContent {
    /// Its content.
    pub content: Fingerprint,
    /// How long ago a server last began to answer it, or had answered it, in milliseconds.
    pub served_ago: u32,
}

/// A run that was cut, without knowing whether its server ended.
#[derive(Clone, Debug)]
struct CutRun {
    run: Run,
    at: Millis,
    /// Whether the server has been checked since without proof that it ended.
    inconclusive: bool,
}

/// Maximum number of cut runs that wait for evidence: some hundred streams on each of several
/// servers.
const MAX_PENDING_CUTS: usize = 2048;

/// One instance's knowledge of the requests that end servers.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    requests: Suspects,
    parts: Suspects,
    cuts: Vec<CutRun>,
    /// Servers that ended recently, and when. Cuts of their runs may be noticed later.
    ended: HashMap<Incarnation, Millis>,
    newly_quarantined: Vec<Quarantined>,
    /// The parts that were quarantined when this was last checked.
    held_parts: HashSet<Fingerprint>,
    /// The requests that were quarantined until another instance cleared them.
    cleared_requests: Vec<Fingerprint>,
    cleared_parts: Vec<Fingerprint>,
    /// Until when other instances may still tell this one, which has just started, what was served before.
    recall_until: Millis,
    /// The live instances.
    instances: Instances,
    /// When requests were served.
    served: RecentlyServed,
    /// When servers last began to write an answer on a part and went on.
    sound_parts: RecentlyServed,
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
            requests: Suspects::new(settings.limit, settings.capacity),
            parts: Suspects::new(settings.part_limit, settings.capacity),
            settings,
            cuts: Vec::new(),
            ended: HashMap::new(),
            newly_quarantined: Vec::new(),
            held_parts: HashSet::new(),
            cleared_requests: Vec::new(),
            cleared_parts: Vec::new(),
            recall_until: Millis::ZERO,
            instances: Instances::default(),
            served: RecentlyServed::default(),
            sound_parts: RecentlyServed::default(),
        }
    }

    /// Records that a server cut a run. Returns whether the caller should check if the server still
    /// exists, because no check is in progress. Report the result to [`Quarantine::server_ended`]
    /// or [`Quarantine::mark_inconclusive`].
    pub fn run_cut(&mut self, run: Run, now: Millis) -> bool {
        self.forget_cuts(now);
        let run = self.without_sound_parts(run, now);
        if let Some(ended) = self.ended.get(&run.server) {
            if run.sent < *ended {
                self.count_end(&run, now, now);
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

    /// Removes the parts of a run whose answer the server has written for so long that it didn't crash
    /// on them.
    fn without_sound_parts(&mut self, run: Run, now: Millis) -> Run {
        let Some(writing) = run.writing.filter(|at| now.since(*at) >= SURVIVAL) else {
            return run;
        };
        self.parts_survived(&run.content, writing, now);
        Run {
            content: run.content.request.into(),
            ..run
        }
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
            self.count_end(&cut.run, cut.at, now);
        }
        matching.len()
    }

    /// Records that a request was served without ending its server, which began to write the answer at
    /// `began`. Returns whether the request was quarantined until now.
    pub fn served(&mut self, content: &RequestContent, began: Millis, now: Millis) -> bool {
        let request = content.request;
        // If the end of a server is noticed later, it happened before this success.
        self.cuts.retain(|cut| cut.run.content.request != request);
        self.served.insert(request, now);
        let quarantined = self.check_request(request, now).is_some();
        let cleared = self.requests.clear_before(request, i64::MAX, now);
        self.parts_survived(content, began, now);
        cleared && quarantined
    }

    /// Records that a server began to write an answer at `began` and has gone on for [`SURVIVAL`]. The parts of the prompt didn't end any server until then.
    pub fn parts_survived(&mut self, content: &RequestContent, began: Millis, now: Millis) {
        for &part in content.parts.iter() {
            self.sound_parts.insert(part, began);
            self.clear_sound_part(part, now);
        }
    }

    /// Merges a suspicion that another instance reported. Returns what this instance knows of the suspect
    /// if it has been served since, which the other instance should know before it refuses it.
    pub fn apply_suspicion(
        &mut self,
        kind: SuspectKind,
        suspicion: &Suspicion,
        now: Millis,
    ) -> Option<Suspicion> {
        let ends = suspicion.ends.iter().map(|reported| End {
            server: reported.server,
            sent: signed(now) - i64::from(reported.sent_ago),
            ended: signed(now) - i64::from(reported.ended_ago),
            cleared: reported.cleared,
        });
        let ends = ends.collect();
        match kind {
            SuspectKind::Request => self.merge_request(suspicion.content, ends, now),
            SuspectKind::Part => self.merge_part(suspicion.content, ends, now),
        }
        match kind {
            SuspectKind::Request => self.requests.contradiction(suspicion, now),
            SuspectKind::Part => self.parts.contradiction(suspicion, now),
        }
    }

    /// Returns at most `count` requests or parts that were served repeatedly of late, for an instance that
    /// has just started: it can't tell them from those that end servers.
    pub fn recently_served(
        &self,
        kind: SuspectKind,
        count: usize,
        now: Millis,
    ) -> Vec<ServedContent> {
        match kind {
            SuspectKind::Request => self.served.repeated(count, now),
            SuspectKind::Part => self.sound_parts.repeated(count, now),
        }
    }

    /// Takes at most `count` requests or parts that were just served here repeatedly, to tell one other
    /// instance of them: those that know them may all be lost before any instance asks.
    pub fn take_untold_served(
        &mut self,
        kind: SuspectKind,
        count: usize,
        now: Millis,
    ) -> Vec<ServedContent> {
        match kind {
            SuspectKind::Request => self.served.take_untold(count, now),
            SuspectKind::Part => self.sound_parts.take_untold(count, now),
        }
    }

    /// Sets until when no quarantine settles, unless another instance tells what was served before: this
    /// instance has just started, and asks.
    pub fn start_recall(&mut self, until: Millis) {
        self.recall_until = until;
    }

    /// Whether this instance has just started and still asks others what was served before.
    pub fn is_recalling(&self, now: Millis) -> bool {
        now < self.recall_until
    }

    /// Records the requests or parts that another instance served of late, as it answers. This instance
    /// need not ask any longer.
    pub fn apply_served(&mut self, kind: SuspectKind, served: &[ServedContent], now: Millis) {
        self.recall_until = Millis::ZERO;
        self.merge_served(kind, served, now);
    }

    /// Records requests or parts that another instance has served of late. They may be a part of what it
    /// knows.
    pub fn merge_served(&mut self, kind: SuspectKind, served: &[ServedContent], now: Millis) {
        for report in served {
            match kind {
                SuspectKind::Request => {
                    self.served.insert_reported(report, now);
                    self.clear_served_request(report.content, now);
                }
                SuspectKind::Part => {
                    self.sound_parts.insert_reported(report, now);
                    self.clear_sound_part(report.content, now);
                }
            }
        }
    }

    fn clear_served_request(&mut self, request: Fingerprint, now: Millis) {
        if !self.served.contains(request, now) {
            return;
        }
        let was_quarantined = self.check_request(request, now).is_some();
        if self.requests.clear_before(request, i64::MAX, now) && was_quarantined {
            self.cleared_requests.push(request);
        }
    }

    fn clear_sound_part(&mut self, part: Fingerprint, now: Millis) {
        let sound = self.sound_parts.time(part);
        if sound.is_some_and(|sound| self.parts.clear_before(part, sound, now)) {
            self.update_held_part(part, now);
        }
    }

    /// Returns the suspicions of a kind that other instances may not know yet, the gravest first.
    pub fn unsent_suspicions(&mut self, kind: SuspectKind, now: Millis) -> Vec<Suspicion> {
        match kind {
            SuspectKind::Request => self.requests.take_news(now),
            SuspectKind::Part => self.parts.take_news(now),
        }
    }

    /// Returns the suspicions of a kind for an instance that may know nothing yet, the gravest first.
    pub fn all_suspicions(&self, kind: SuspectKind, now: Millis) -> Vec<Suspicion> {
        match kind {
            SuspectKind::Request => self.requests.open(now),
            SuspectKind::Part => self.parts.open(now),
        }
    }

    /// Returns the requests and parts quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<Quarantined> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Returns the requests whose quarantine other instances have ended since the last call.
    pub fn take_cleared_requests(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared_requests)
    }

    /// Returns the parts whose quarantine has ended since the last call.
    pub fn take_cleared_parts(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared_parts)
    }

    /// Drops expired state.
    pub fn expire(&mut self, now: Millis) {
        self.forget_cuts(now);
        let span = self.settings.span;
        self.requests.expire(span, signed(now));
        self.parts.expire(span, signed(now));
        let grave = self.parts.grave().map(|(part, _)| part);
        let changeable: Vec<Fingerprint> = grave.chain(self.held_parts.iter().copied()).collect();
        for part in changeable {
            self.update_held_part(part, now);
        }
    }

    fn forget_cuts(&mut self, now: Millis) {
        let span = self.settings.evidence;
        self.cuts.retain(|cut| now.since(cut.at) < span);
        self.ended.retain(|_, at| now.since(*at) < span);
    }

    fn count_end(&mut self, run: &Run, cut: Millis, now: Millis) {
        let end = End::of_run(run, cut);
        self.merge_request(run.content.request, vec![end], now);
        // A part does harm from when the server begins to write, however long the request waited.
        let end = End {
            sent: signed(run.began.unwrap_or(run.sent)),
            ..end
        };
        for &part in run.content.parts.iter() {
            self.merge_part(part, vec![end], now);
        }
    }

    fn merge_request(&mut self, request: Fingerprint, mut ends: Vec<End>, now: Millis) {
        // Many callers may send the same request, and a copy of it runs on each server that ends
        // for another reason. Quarantining it would refuse all of them for minutes.
        if self.served.contains(request, now) {
            for end in &mut ends {
                end.cleared = true;
            }
        }
        let was_quarantined = self.check_request(request, now).is_some();
        self.requests.merge(request, ends, now);
        match (was_quarantined, self.check_request(request, now)) {
            (false, Some(refusal)) => {
                let servers = self.requests.get(request).map(Record::servers);
                self.newly_quarantined.push(Quarantined {
                    kind: SuspectKind::Request,
                    content: request,
                    servers: servers.unwrap_or_default(),
                    span: refusal.retry_after,
                });
            }
            (true, None) => self.cleared_requests.push(request),
            _ => {}
        }
    }

    fn merge_part(&mut self, part: Fingerprint, mut ends: Vec<End>, now: Millis) {
        // Unlike a request, a part isn't cleared of ends that came after it was last sound: every
        // request that many callers send has it, and it may have become harmful since.
        if let Some(sound) = self.sound_parts.time(part) {
            for end in &mut ends {
                end.cleared |= end.ended < sound;
            }
        }
        self.parts.merge(part, ends, now);
        self.update_held_part(part, now);
    }

    /// Records for the log whether a part has been quarantined or cleared.
    fn update_held_part(&mut self, part: Fingerprint, now: Millis) {
        if !self.is_part_held(part, now) {
            if self.held_parts.remove(&part) {
                self.cleared_parts.push(part);
            }
            return;
        }
        if self.held_parts.insert(part) {
            let servers = self.parts.get(part).map(Record::servers);
            self.newly_quarantined.push(Quarantined {
                kind: SuspectKind::Part,
                content: part,
                servers: servers.unwrap_or_default(),
                span: self.settings.span,
            });
        }
    }
}

/// Converts a time to a signed number, since an end reported by another instance may lie before the
/// start of this instance's clock.
fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
