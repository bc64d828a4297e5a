//! Requests and prompt parts under which backend servers ended: the evidence, and its exchange between instances.

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
use crocushold_routing::Incarnation;
use crocushold_routing::Passage;
use crocushold_routing::Quarantine;
use crocushold_routing::RequestContent;
use crocushold_routing::Run;
use crocushold_routing::SettlementWait;
use crocushold_routing::SuspectKind;
use crocushold_routing::Suspicion;
use log::info;
use log::warn;
use twox_hash::XxHash3_64;

use super::Coordinator;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Interval at which new suspicions are sent to other instances.
const GOSSIP_PERIOD: Millis = Millis(100);

/// Every how many rounds all open suspicions are sent: a member may have just started or missed a
/// message.
const FULL_GOSSIP_ROUNDS: usize = 10;

/// Number of members to which suspicions are sent in a round.
const GOSSIP_FANOUT: usize = 3;

/// Timeout of a message. Its contents are also sent by other instances.
const GOSSIP_TIMEOUT: Millis = Millis(500);

/// An attempt whose connection the server broke.
#[derive(Clone, Debug)]
pub(crate) struct CutAttempt {
    /// What was asked.
    pub(crate) content: RequestContent,
    /// The server's address.
    pub(crate) address: SocketAddr,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// When the head of the response arrived, if it did.
    pub(crate) began: Option<Millis>,
    /// When the first piece of the body arrived, if one did.
    pub(crate) writing: Option<Millis>,
}

/// What this instance knows of requests and prompt parts under which servers ended.
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
    /// How often the process at an address was found to have ended. Servers are identified by
    /// address alone here.
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

    /// Checks whether the request `id`, which has to end by `deadline`, may be sent. It waits until a quarantine
    /// is settled.
    ///
    /// # Errors
    ///
    /// Returns a refusal if servers ended under it: each attempt would end another one, with all
    /// requests that run there.
    pub(crate) async fn admit(
        &self,
        id: &str,
        content: &RequestContent,
        deadline: Millis,
        settlement: &mut SettlementWait,
    ) -> Result<(), Refusal> {
        loop {
            match self.check(content, deadline, settlement) {
                Passage::Open => return Ok(()),
                Passage::Trial => {
                    let event = Event::new("content-tried")
                        .with("request", id)
                        .with("content", self.names.pseudonym(content.request));
                    info!("{event}");
                    return Ok(());
                }
                Passage::Wait(interval) => task::sleep(interval.into()).await,
                Passage::Refused { retry_after } => {
                    let text = "backend servers ended while they ran this request";
                    let refusal = Refusal::not_run(Reason::Quarantined, text);
                    return Err(refusal.retry_after(retry_after));
                }
            }
        }
    }

    fn check(
        &self,
        content: &RequestContent,
        deadline: Millis,
        settlement: &mut SettlementWait,
    ) -> Passage {
        let now = self.clock.now();
        let quarantine = &mut self.state().quarantine;
        settlement.check(quarantine, content, deadline, now)
    }

    /// Handles an attempt whose connection the server broke. A connection reset looks the same as a
    /// process that ended, so the server is checked.
    pub(crate) fn on_cut(self: &Arc<Self>, cut: CutAttempt) {
        let now = self.clock.now();
        let mut state = self.state();
        let server = self.incarnation(&state, cut.address);
        let run = Run {
            content: cut.content,
            server,
            sent: cut.sent,
            began: cut.began,
            writing: cut.writing,
        };
        let needs_check = state.quarantine.run_cut(run, now);
        self.log_changes(state);
        if needs_check {
            task::spawn(self.clone().check_process(cut.address, server));
        }
    }

    /// Handles a request that was served completely, from `began` on.
    pub(crate) fn on_served(&self, content: &RequestContent, began: Millis) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.quarantine.served(content, began, now) {
            let content = self.names.pseudonym(content.request);
            let event = Event::new("content-cleared")
                .with("content", content)
                .with("source", "answer");
            info!("{event}");
        }
        self.log_changes(state);
    }

    /// Handles a server that goes on with a response that it began to write at `began`.
    pub(crate) fn on_survival(&self, content: &RequestContent, began: Millis) {
        let mut state = self.state();
        let now = self.clock.now();
        state.quarantine.parts_survived(content, began, now);
        self.log_changes(state);
    }

    /// Handles the suspicions of another instance.
    pub(super) fn on_suspicions(&self, kind: SuspectKind, suspicions: &[Suspicion]) {
        let now = self.clock.now();
        let mut state = self.state();
        for suspicion in suspicions {
            state.quarantine.apply_suspicion(kind, suspicion, now);
        }
        self.log_changes(state);
    }

    async fn check_process(self: Arc<Self>, address: SocketAddr, server: Incarnation) {
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
        self.log_changes(state);
    }

    /// The incarnation of the process at an address, as counted by this instance. Other instances
    /// count differently; the runs that they saw broken by the same end of a process overlap with
    /// these, and count once.
    fn incarnation(&self, state: &State, address: SocketAddr) -> Incarnation {
        let ends = state.ends.get(&address).copied().unwrap_or_default();
        let text = format!("{address} {ends} {}", self.me.incarnation);
        Incarnation(XxHash3_64::oneshot_with_seed(self.me.id.0, text.as_bytes()))
    }

    fn log_changes(&self, mut state: MutexGuard<'_, State>) {
        let placed = state.quarantine.take_quarantined();
        let cleared_requests = state.quarantine.take_cleared_requests();
        let cleared_parts = state.quarantine.take_cleared_parts();
        drop(state);
        for request in cleared_requests {
            let event = Event::new("content-cleared")
                .with("content", self.names.pseudonym(request))
                .with("source", "instance");
            info!("{event}");
        }
        for part in cleared_parts {
            let part = self.names.pseudonym(part);
            info!("{}", Event::new("part-cleared").with("part", part));
        }
        for quarantined in placed {
            let (event, field) = match quarantined.kind {
                SuspectKind::Request => (Event::new("content-quarantined"), "content"),
                SuspectKind::Part => (Event::new("part-quarantined"), "part"),
            };
            let event = event
                .with(field, self.names.pseudonym(quarantined.content))
                .with("ends", quarantined.servers.len())
                .with("span", quarantined.span);
            warn!("{event}");
        }
    }

    /// Returns the suspicions of a kind to send in a round.
    fn suspicions_to_send(&self, kind: SuspectKind, all: bool) -> Vec<Suspicion> {
        let now = self.clock.now();
        let quarantine = &mut self.state().quarantine;
        if all {
            quarantine.all_suspicions(kind, now)
        } else {
            quarantine.unsent_suspicions(kind, now)
        }
    }

    /// Drops expired state.
    fn expire(&self) {
        let mut state = self.state();
        state.quarantine.expire(self.clock.now());
        self.log_changes(state);
    }
}

impl Coordinator {
    /// Sends suspicions about requests under which servers ended to other instances, as long as the
    /// process runs.
    pub(crate) async fn run_suspects(self: Arc<Self>) {
        for round in 0usize.. {
            task::sleep(GOSSIP_PERIOD.into()).await;
            self.suspects.expire();
            let all = round % FULL_GOSSIP_ROUNDS == 0;
            if all {
                self.set_trial_instances();
            }
            for kind in [SuspectKind::Request, SuspectKind::Part] {
                let suspicions = self.suspects.suspicions_to_send(kind, all);
                if !suspicions.is_empty() {
                    self.gossip(round, kind, &suspicions);
                }
            }
        }
    }

    fn set_trial_instances(&self) {
        let (live, _) = self.members().quorum();
        let others = live.members().iter().filter(|member| **member != self.me);
        let others = others.copied().map(instance_hash).collect();
        let mut state = self.suspects.state();
        state
            .quarantine
            .set_instances(instance_hash(self.me), others);
    }

    fn gossip(self: &Arc<Self>, round: usize, kind: SuspectKind, suspicions: &[Suspicion]) {
        let (live, _) = self.members().quorum();
        let others = live.members().iter().copied();
        let others: Vec<Member> = others.filter(|member| *member != self.me).collect();
        for number in 0..GOSSIP_FANOUT.min(others.len()) {
            // Other members in each round, and not the same ones that other instances choose.
            let draw = XxHash3_64::oneshot_with_seed(
                self.me.id.0,
                &(round * GOSSIP_FANOUT + number).to_le_bytes(),
            );
            let to = others[draw as usize % others.len()];
            let call = Request::Suspect(kind, suspicions.to_vec());
            let coordinator = self.clone();
            task::spawn(async move { coordinator.transport.call(to, call, GOSSIP_TIMEOUT).await });
        }
    }
}

/// Hash of an instance that is the same at all instances.
fn instance_hash(member: Member) -> u64 {
    XxHash3_64::oneshot_with_seed(member.id.0, &member.incarnation.to_le_bytes())
}
