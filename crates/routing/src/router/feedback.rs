//! What the attempts, the engines' reports and their cache events tell.

use std::cmp::Reverse;

use crocushold_base::Millis;
use crocushold_base::ServerKey;

use crate::cache::CacheChange;
use crate::cache::CacheEvent;
use crate::cache::Hint;
use crate::health::Fault;
use crate::health::Health;
use crate::health::Kind;
use crate::health::Sample;
use crate::health::Verdict;
use crate::pool::SERVER_ALPHA;
use crate::router::AttemptKey;
use crate::router::Outcome;
use crate::router::Router;
use crate::router::types::InFlight;
use crate::server::LoadReport;
use crate::server::Rest;
use crate::stats::Median;

/// Tokens between two samples of a stream's pace; fewer measure the network's jitter.
const PACE_TOKENS: u32 = 16;

/// The greatest logarithm of a ratio of paces that one sample may tell; twelvefold.
const MAX_RATIO: f64 = 2.5;

impl Router {
    /// The attempt has a connection; the wait for a first byte counts from here. False when the
    /// attempt isn't known, as of the other events.
    pub fn connected(&mut self, attempt: AttemptKey, now: Millis) -> bool {
        self.notice_gap(now);
        let flight = self.attempts.get_mut(attempt);
        flight.map(|flight| flight.waits = now).is_some()
    }

    /// The first byte of an answer came.
    pub fn first_byte(&mut self, attempt: AttemptKey, now: Millis) -> bool {
        self.notice_gap(now);
        let Some(flight) = self.attempts.get_mut(attempt) else {
            return false;
        };
        if flight.first.is_some() {
            return true;
        }
        flight.first = Some(now);
        flight.sampled_at = now;
        let flight = *flight;
        if self.is_stale(&flight) {
            return true;
        }
        self.note_wait(attempt, &flight, now);
        if flight.picked >= self.woke {
            self.judge_first(&flight, now);
        }
        true
    }

    /// `tokens` of the answer have come so far.
    pub fn progress(&mut self, attempt: AttemptKey, tokens: u32, now: Millis) -> bool {
        self.notice_gap(now);
        let Some(flight) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let fresh = tokens.saturating_sub(flight.sampled);
        if flight.first.is_none() || fresh < PACE_TOKENS {
            return true;
        }
        let span = now.since(flight.sampled_at);
        let trusted = flight.sampled_at >= self.woke;
        flight.sampled = tokens;
        flight.sampled_at = now;
        let flight = *flight;
        if trusted && !self.is_stale(&flight) {
            self.pace(&flight, span.0 as f64 / f64::from(fresh), now);
        }
        true
    }

    /// The longest pause of the attempt's stream is known.
    pub fn record_longest_pause(&mut self, attempt: AttemptKey, longest: Millis) {
        let Some(flight) = self.attempts.get(attempt).copied() else {
            return;
        };
        if self.is_stale(&flight) {
            return;
        }
        if let Some(server) = self.servers.get_mut(flight.server) {
            let sample = longest.0.max(1) as f64;
            server
                .pauses
                .get_or_insert(Median::from(sample))
                .add(sample);
        }
    }

    /// The attempt ended after `tokens` of an answer; its slot is free again.
    pub fn done(
        &mut self,
        attempt: AttemptKey,
        outcome: Outcome,
        tokens: u32,
        now: Millis,
    ) -> bool {
        self.progress(attempt, tokens, now);
        let Some(flight) = self.attempts.remove(attempt) else {
            return false;
        };
        if self.is_stale(&flight) {
            self.finish(&flight);
            return true;
        }
        if outcome == Outcome::Complete {
            self.lasting.add(now.since(flight.picked).0 as f64, 0.05);
            self.judge_answer(&flight, tokens, now);
        }
        if let Some(server) = self.servers.get_mut(flight.server) {
            server.delay.ended(attempt);
            if outcome == Outcome::Overloaded {
                server.delay.rejected(now);
            }
        }
        self.finish(&flight);
        self.judge_outcome(&flight, outcome, now);
        true
    }

    /// Takes in a server's load report.
    pub fn load_report(&mut self, server: ServerKey, report: LoadReport, now: Millis) {
        self.notice_gap(now);
        let alpha = 1.0 / self.present.max(1) as f64;
        if let Some(state) = self.servers.get_mut(server) {
            let others = state.take_report(report, now);
            self.others.add(others, alpha);
        }
        self.settle(server);
    }

    /// Takes in a report that comes too rarely to choose by: it only says whether a borrowed server
    /// has a free slot.
    pub fn record_occupancy(&mut self, server: ServerKey, report: LoadReport) {
        if let Some(state) = self.servers.get_mut(server) {
            state.take_occupancy(report);
        }
        self.settle(server);
    }

    /// Takes in a cache event of a server.
    pub fn cache_event(&mut self, server: ServerKey, event: CacheEvent) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        if !state.cursor.advance(event.seq) {
            return;
        }
        let epoch = state.cursor.epoch();
        match event.change {
            CacheChange::Stored => {
                // It says that the server holds it, not since when.
                let since = Millis::ZERO;
                let hint = Hint {
                    server,
                    epoch,
                    since,
                };
                self.hints.store(event.prefix, hint);
            }
            CacheChange::Evicted => self.hints.evict(event.prefix, server),
        }
    }

    /// A server's cache events start anew, as after its restart: earlier hints are void.
    pub fn cache_restart(&mut self, server: ServerKey) {
        if let Some(state) = self.servers.get_mut(server) {
            state.cursor.restart();
        }
    }

    /// The server's process has started anew under its name: what was learned of it is void.
    ///
    /// Kept, its hints would draw prompts to an empty cache, its strikes keep a sound process out, and
    /// the wait that was seen last send requests away from an idle one. Attempts that are under way belong to
    /// the process before; their ends free their slots and tell nothing of this one.
    pub fn server_restarted(&mut self, server: ServerKey) {
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.restart();
        self.change_health(server, |health| *health = Health::default());
    }

    /// Takes in how long an engine took to begin an answer, and that it keeps the prompt now.
    fn note_wait(&mut self, attempt: AttemptKey, flight: &InFlight, now: Millis) {
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        if let Some(span) = server.delay.answered(attempt, now)
            && flight.picked >= self.woke
            && flight.sure
        {
            self.speed.sample(flight.read, flight.ahead, span);
        }
        if flight.read > 0.0 {
            self.note_kept(flight.server, flight.prefix, flight.picked);
        }
    }

    /// Whether the attempt went to a process that has ended since: its server has started anew.
    fn is_stale(&self, flight: &InFlight) -> bool {
        let server = self.servers.get(flight.server);
        server.is_some_and(|server| server.life != flight.life)
    }

    /// Frees the slot; forgets a removed server with its last attempt.
    fn finish(&mut self, flight: &InFlight) {
        let key = flight.server;
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.tokens = server.tokens.saturating_sub(u64::from(flight.tokens));
        let over = server.departure == Some(crate::server::Departure::Removed);
        if over && server.in_flight == 0 {
            self.servers.remove(key);
            return;
        }
        self.settle(key);
    }

    fn judge_outcome(&mut self, flight: &InFlight, outcome: Outcome, now: Millis) {
        let fault = match outcome {
            Outcome::Complete => return self.succeed(flight.server),
            Outcome::Cancelled => return,
            Outcome::Overloaded => Fault::Overloaded,
            Outcome::Refused => return self.eject(flight.server, Fault::Refused, now),
            Outcome::Unreachable => Fault::Unreachable,
            Outcome::Cut | Outcome::Failed => Fault::Failing,
            Outcome::TimedOut => Fault::Hung,
        };
        let late = matches!(outcome, Outcome::TimedOut | Outcome::Unreachable);
        if late && flight.picked < self.woke {
            return;
        }
        self.strike(flight, fault, now);
    }

    fn succeed(&mut self, key: ServerKey) {
        let Some(share) = self.servers.get(key).map(|server| server.share) else {
            return;
        };
        self.change_health(key, |health| health.succeed(share));
    }

    fn strike(&mut self, flight: &InFlight, fault: Fault, now: Millis) {
        let key = flight.server;
        let settings = self.settings.health.clone();
        let mut verdict = Verdict::Keep;
        let mut memory = None;
        let in_flight = self.servers.get(key).map_or(0, |server| server.in_flight);
        self.change_health(key, |health| {
            let before = health.strikes();
            verdict = health.strike(&settings, now);
            memory = health.memory_ends(&settings).filter(|_| before == 0);
            if fault == Fault::Overloaded && health.strikes() > before {
                health.back_off(in_flight);
            }
        });
        if let Some(due) = memory {
            self.timers.push(Reverse((due, key)));
        }
        // When all time out together, the estimate behind the timeout is what is wrong: without
        // this sample it would never learn that answers take longer now.
        if fault == Fault::Hung && self.suspects * 2 > self.present {
            let span = now.since(flight.waits);
            self.pools[flight.pool].first_byte(span);
        }
        if verdict == Verdict::Eject {
            self.eject(key, fault, now);
        }
    }

    fn judge_first(&mut self, flight: &InFlight, now: Millis) {
        let span = now.since(flight.waits);
        let pool = &mut self.pools[flight.pool];
        let usual = pool.is_usual(span);
        pool.first_byte(span);
        let server = self.servers.get(flight.server);
        if let (true, Some(share)) = (usual, server.map(|server| server.share)) {
            self.change_health(flight.server, |health| health.begin(share));
        }
    }

    /// Takes the rest of the pace from an answer that has ended.
    ///
    /// Streams too short for a sample add up to one. An answer that wasn't streamed, or has no gap
    /// between tokens, is compared with others of its size as a whole: else a server that only gets
    /// such requests could never be seen to be slow.
    fn judge_answer(&mut self, flight: &InFlight, tokens: u32, now: Millis) {
        if flight.picked < self.woke {
            return;
        }
        if flight.first.is_none() || tokens <= 1 {
            return self.judge_whole(flight, tokens, now);
        }
        // The first token came with the first byte, before any gap.
        let gaps = tokens.saturating_sub(flight.sampled.max(1));
        let span = now.since(flight.sampled_at);
        if let Some(rest) = self.gather(flight, gaps, span) {
            self.pace(flight, rest.span.0 as f64 / f64::from(rest.gaps), now);
        }
    }

    fn judge_whole(&mut self, flight: &InFlight, tokens: u32, now: Millis) {
        // Behind a queue inside the server the time tells its load: ejecting it would push that
        // onto its peers.
        let ttl = self.settings.report_ttl;
        let server = self.servers.get(flight.server);
        if server.is_some_and(|server| server.queues(ttl, now)) {
            return;
        }
        let span = now.since(flight.waits).0 as f64;
        let ratio = self.pools[flight.pool].whole(flight.tokens, tokens, span);
        self.judge_speed(flight, Kind::Whole, ratio, now);
    }

    /// Adds gaps to the server's rest; returns it, and starts anew, when it is enough for a sample.
    fn gather(&mut self, flight: &InFlight, gaps: u32, span: Millis) -> Option<Rest> {
        let server = self.servers.get_mut(flight.server)?;
        let mut members = server.members.iter_mut();
        let rest = &mut members.find(|member| member.pool == flight.pool)?.rest;
        rest.gaps += gaps;
        rest.span += span;
        (rest.gaps >= PACE_TOKENS).then(|| std::mem::take(rest))
    }

    /// Takes in the time for each token, in milliseconds.
    fn pace(&mut self, flight: &InFlight, sample: f64, now: Millis) {
        let ratio = self.pools[flight.pool].pace(sample);
        self.judge_speed(flight, Kind::Pace, ratio, now);
    }

    /// Takes in a sample relative to the peers', as a logarithm; none while too little is known.
    fn judge_speed(&mut self, flight: &InFlight, kind: Kind, ratio: Option<f64>, now: Millis) {
        let Some(ratio) = ratio else {
            return;
        };
        let Some(server) = self.servers.get_mut(flight.server) else {
            return;
        };
        // Bounded, so that a server that was stuck once forgets it in a few samples.
        let bounded = ratio.clamp(-MAX_RATIO, MAX_RATIO);
        server.slowness.add(bounded, SERVER_ALPHA);
        let settings = self.settings.health.clone();
        let mut verdict = Verdict::Keep;
        self.change_health(flight.server, |health| {
            verdict = health.speed(&settings, Sample { kind, ratio }, now);
        });
        if verdict == Verdict::Eject {
            self.eject(flight.server, Fault::Straggling, now);
        }
    }
}
