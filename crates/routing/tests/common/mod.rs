//! A router with a few servers, driven by tests.

#![allow(dead_code, reason = "each test file uses a part")]

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::Demand;
use crocushold_routing::ListSnapshot;
use crocushold_routing::ListVerdict;
use crocushold_routing::Listed;
use crocushold_routing::NoServer;
use crocushold_routing::Outcome;
use crocushold_routing::Pick;
use crocushold_routing::Presence;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use crocushold_routing::State;
use slotmap::SlotMap;

/// Slots on each server.
pub(crate) const SLOTS: u32 = 4;

/// The shape of an answer.
#[derive(Clone, Copy)]
pub(crate) struct Reply {
    pub(crate) prompt: u32,
    pub(crate) prefill_ms: u64,
    pub(crate) tokens: u32,
    pub(crate) token_ms: u64,
    pub(crate) streamed: bool,
}

pub(crate) struct Fleet {
    pub(crate) router: Router,
    pub(crate) keys: Vec<ServerKey>,
    pub(crate) model: ModelKey,
    pub(crate) now: Millis,
    revision: u64,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Fleet {
        Fleet::with(count, Settings::default())
    }

    pub(crate) fn with(count: usize, settings: Settings) -> Fleet {
        let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let mut models: SlotMap<ModelKey, ()> = SlotMap::with_key();
        let mut fleet = Fleet {
            router: Router::new(settings, "stgo-a", 7),
            keys: (0..count).map(|_| servers.insert(())).collect(),
            model: models.insert(()),
            now: Millis(1000),
            revision: 0,
        };
        let specs: Vec<ServerSpec> = (0..count).map(|at| fleet.spec(at)).collect();
        fleet.router.configure(&specs, fleet.now);
        fleet
    }

    pub(crate) fn spec(&self, at: usize) -> ServerSpec {
        ServerSpec {
            key: self.keys[at],
            id: 1000 + at as u64,
            zone: "stgo-a".to_owned(),
            region: None,
            software: None,
            concurrency: SLOTS,
            models: vec![self.model],
        }
    }

    pub(crate) fn demand(&self) -> Demand<'static> {
        Demand {
            model: Some(self.model),
            priority: 1,
            idempotent: true,
            tokens: 100,
            ..Demand::default()
        }
    }

    pub(crate) fn pick(&mut self) -> Pick {
        let demand = self.demand();
        self.router.pick(&demand, self.now).unwrap()
    }

    /// A pick in which only the server `at` is eligible.
    pub(crate) fn try_on(&mut self, at: usize) -> Result<Pick, NoServer> {
        let mut exclude = self.keys.clone();
        exclude.remove(at);
        let demand = Demand {
            exclude: &exclude,
            ..self.demand()
        };
        self.router.pick(&demand, self.now)
    }

    pub(crate) fn pick_on(&mut self, at: usize) -> Pick {
        self.try_on(at).unwrap()
    }

    /// Returns true if the server `at` is chosen in any of many picks.
    pub(crate) fn is_picked(&mut self, at: usize) -> bool {
        (0..1000).any(|_| {
            let pick = self.pick();
            self.end(pick.attempt, Outcome::Cancelled);
            pick.server == self.keys[at]
        })
    }

    pub(crate) fn end(&mut self, attempt: AttemptKey, outcome: Outcome) {
        assert!(self.router.done(attempt, outcome, 0, self.now));
    }

    pub(crate) fn state(&self, at: usize) -> State {
        self.router.standing(self.keys[at]).unwrap().state
    }

    pub(crate) fn wait(&mut self, ms: u64) {
        self.now += Millis(ms);
        self.router.tick(self.now);
    }

    /// Completes an answer of 32 tokens at `token_ms` milliseconds per token on the server `at`.
    pub(crate) fn answer(&mut self, at: usize, token_ms: u64) {
        let pick = self.pick_on(at);
        self.router.first_byte(pick.attempt, self.now);
        // Time advances in steps, as with the daemon's ticks; a single jump would count as a
        // suspension of the process.
        (0..32).for_each(|_| self.wait(token_ms));
        let now = self.now;
        self.router.done(pick.attempt, Outcome::Complete, 32, now);
    }

    /// Completes an answer of `tokens` tokens at `token_ms` milliseconds per token on the server
    /// `at`, streamed or not, for a prompt of `prompt` tokens whose prefill takes `prefill_ms`
    /// milliseconds.
    pub(crate) fn reply(&mut self, at: usize, reply: Reply) {
        let mut exclude = self.keys.clone();
        exclude.remove(at);
        let demand = Demand {
            exclude: &exclude,
            tokens: reply.prompt,
            ..self.demand()
        };
        let pick = self.router.pick(&demand, self.now).unwrap();
        self.wait(reply.prefill_ms + reply.token_ms);
        if reply.streamed {
            self.router.first_byte(pick.attempt, self.now);
        }
        (1..reply.tokens).for_each(|_| self.wait(reply.token_ms));
        let now = self.now;
        let tokens = reply.tokens;
        self.router
            .done(pick.attempt, Outcome::Complete, tokens, now);
    }

    /// Applies a new list with the `live` and `leaving` servers.
    pub(crate) fn list(&mut self, live: &[usize], leaving: &[usize]) -> ListVerdict {
        self.revision += 1;
        let of = |at: &usize, presence| Listed {
            server: self.keys[*at],
            presence,
        };
        let live = live.iter().map(|at| of(at, Presence::Live));
        let leaving = leaving.iter().map(|at| of(at, Presence::Leaving));
        let list = ListSnapshot {
            revision: self.revision,
            servers: live.chain(leaving).collect(),
        };
        self.router.instance_list(&list, self.now)
    }
}
