//! Requests under which backend servers ended: evidence, and what the instances tell each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::Pseudonymizer;
use crocushold_http::refuses_connections;
use crocushold_ownership::Member;
use crocushold_peers::Request;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::Run;
use crocushold_routing::Suspicion;
use log::info;
use log::warn;
use twox_hash::XxHash3_64;

use super::Coordinator;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Between two rounds of telling others what is new.
const ROUND: Millis = Millis(100);

/// Rounds between two in which others are told all that is open: one may have just started, or missed it.
const REMINDING_ROUNDS: usize = 10;

/// Members that are told in a round.
const AUDIENCE: usize = 3;

/// How long a message may take. What it tells is told again by others.
const DEADLINE: Millis = Millis(500);

/// What one instance knows of requests under which servers ended.
#[derive(Debug)]
pub(crate) struct Suspects {
    clock: Clock,
    me: Member,
    names: Pseudonymizer,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    /// How often the process at an address was found to have ended. An address is all that names a server here.
    ends: HashMap<SocketAddr, u64>,
}

impl Suspects {
    pub(super) fn new(clock: Clock, me: Member) -> Arc<Suspects> {
        Arc::new(Suspects {
            clock,
            me,
            names: Pseudonymizer::default(),
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request may be sent.
    ///
    /// # Errors
    ///
    /// Its refusal, as servers ended under it: each try would end the next one, with all that runs there.
    pub(crate) fn admit(&self, content: Fingerprint) -> Result<(), Refusal> {
        let admitted = self.state().quarantine.admit(content, self.clock.now());
        admitted.map_err(|held| {
            let text = "backend servers ended while they ran this request";
            Refusal::not_run(Reason::Quarantined, text).retry_after(held.retry_after)
        })
    }

    /// The server at `address` cut a run that was sent to it at `sent`. A reset looks the same as the end of the
    /// process, so the server is looked for.
    pub(crate) fn run_cut(
        self: &Arc<Self>,
        content: Fingerprint,
        address: SocketAddr,
        sent: Millis,
    ) {
        let now = self.clock.now();
        let mut state = self.state();
        let server = self.incarnation(&state, address);
        let run = Run {
            content,
            server,
            sent,
        };
        let unwatched = state.quarantine.run_cut(run, now);
        self.note_quarantined(state);
        if unwatched {
            task::spawn(self.clone().look(address, server));
        }
    }

    /// A request was served whole.
    pub(crate) fn served(&self, content: Fingerprint) {
        let now = self.clock.now();
        if self.state().quarantine.served(content, now) {
            let content = self.names.pseudonym(content);
            info!("{}", Event::new("content-cleared").with("content", content));
        }
    }

    /// Another instance tells of suspects.
    pub(super) fn hear(&self, suspicions: &[Suspicion]) {
        let now = self.clock.now();
        let mut state = self.state();
        for suspicion in suspicions {
            state.quarantine.apply_suspicion(suspicion, now);
        }
        self.note_quarantined(state);
    }

    async fn look(self: Arc<Self>, address: SocketAddr, server: Incarnation) {
        if !refuses_connections(address).await {
            self.state().quarantine.mark_inconclusive(server);
            return;
        }
        let now = self.clock.now();
        let mut state = self.state();
        *state.ends.entry(address).or_default() += 1;
        let suspects = state.quarantine.server_ended(server, now);
        let event = Event::new("server-ended")
            .with("server", address)
            .with("suspects", suspects);
        warn!("{event}");
        self.note_quarantined(state);
    }

    /// The life of the process at an address, as this instance counts them. Another instance counts differently; the
    /// runs that it saw cut by the same end overlapped with these, and count once.
    fn incarnation(&self, state: &State, address: SocketAddr) -> Incarnation {
        let ends = state.ends.get(&address).copied().unwrap_or_default();
        let text = format!("{address} {ends} {}", self.me.incarnation);
        Incarnation(XxHash3_64::oneshot_with_seed(self.me.id.0, text.as_bytes()))
    }

    fn note_quarantined(&self, mut state: MutexGuard<'_, State>) {
        let placed = state.quarantine.take_quarantined();
        drop(state);
        for quarantined in placed {
            let event = Event::new("content-quarantined")
                .with("content", self.names.pseudonym(quarantined.content))
                .with("ends", quarantined.servers.len())
                .with("span", quarantined.span);
            warn!("{event}");
        }
    }

    /// What to tell others in a round.
    fn tell(&self, reminds: bool) -> Vec<Suspicion> {
        let now = self.clock.now();
        let quarantine = &mut self.state().quarantine;
        quarantine.expire(now);
        if reminds {
            quarantine.all_suspicions(now)
        } else {
            quarantine.unsent_suspicions(now)
        }
    }
}

impl Coordinator {
    /// Tells other instances of requests under which servers ended, as long as the process runs.
    pub(crate) async fn run_suspects(self: Arc<Self>) {
        for round in 0usize.. {
            task::sleep(ROUND.into()).await;
            let suspicions = self.suspects.tell(round % REMINDING_ROUNDS == 0);
            if !suspicions.is_empty() {
                self.tell_suspects(round, &suspicions);
            }
        }
    }

    fn tell_suspects(self: &Arc<Self>, round: usize, suspicions: &[Suspicion]) {
        let (live, _) = self.members().quorum();
        let others = live.members().iter().copied();
        let others: Vec<Member> = others.filter(|member| *member != self.me).collect();
        for number in 0..AUDIENCE.min(others.len()) {
            // Another few in each round, and not the same ones as those that others draw.
            let draw = XxHash3_64::oneshot_with_seed(
                self.me.id.0,
                &(round * AUDIENCE + number).to_le_bytes(),
            );
            let to = others[draw as usize % others.len()];
            let call = Request::Suspect(suspicions.to_vec());
            let coordinator = self.clone();
            task::spawn(async move { coordinator.transport.call(to, call, DEADLINE).await });
        }
    }
}
