//! Membership and dissemination of the configuration, combined into one state machine that
//! exchanges messages.

use std::sync::Arc;

use crocushold_base::Millis;

use crate::identity::Incarnation;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::ListedInstance;
use crate::member::Member;
use crate::member::MemberAction;
use crate::member::MemberFinding;
use crate::member::MemberSettings;
use crate::member::View;
use crate::message::Body;
use crate::message::Gossip;
use crate::message::Message;
use crate::message::Status;
use crate::message::Update;
use crate::spread::PlatformRead;
use crate::spread::Snapshot;
use crate::spread::Spread;
use crate::spread::SpreadAction;
use crate::spread::SpreadFinding;
use crate::spread::SpreadSettings;
use crate::sync_status::PeerSyncStatus;
use crate::sync_status::SyncStatus;

/// Settings of a [`Node`].
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// Settings of the membership.
    pub member: MemberSettings,
    /// Settings of the dissemination of the configuration.
    pub spread: SpreadSettings,
}

/// An input of a [`Node`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passed. Expected about every 100 ms: a long gap is taken for a pause of the process.
    Tick,
    /// The platform's list of entry instances.
    InstanceList(Vec<ListedInstance>),
    /// The outcome of a read of the platform.
    PlatformRead(PlatformRead),
    /// A message arrived, either a request or an answer.
    Message(InstanceId, Message),
    /// A message couldn't be delivered or wasn't answered.
    Failed(InstanceId),
    /// Another instance answers at the address of the named one.
    Replaced(InstanceId),
    /// The embedder is about to act on the view and needs it as current as possible.
    Refresh,
    /// The instance leaves by a planned stop.
    Leave,
}

/// An action that the embedder of a [`Node`] must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Instance, Message),
    /// Answer the message that is being processed.
    Reply(Message),
    /// Read the index of the configuration.
    ReadIndex,
    /// Watch the index of the configuration.
    WatchIndex {
        /// The known revision.
        after: u64,
        /// The maximum time to wait.
        wait: Millis,
    },
    /// Read a part of the configuration.
    ReadPart(Arc<str>),
    /// The live view changed.
    ViewChanged(View),
    /// The configuration in force has changed to this one.
    InForce(Snapshot),
    /// Report a finding to the operator.
    Report(Finding),
}

/// A finding for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// About the membership.
    Member(MemberFinding),
    /// About the configuration.
    Spread(SpreadFinding),
}

/// An instance of the fleet: [`Member`] and [`Spread`] with their messages.
#[derive(Debug)]
pub struct Node {
    member: Member,
    spread: Spread,
    published: Option<(u64, bool)>,
    /// The sender of the message that is being processed.
    requester: Option<InstanceId>,
}

impl Node {
    /// Creates a node that knows only itself.
    pub fn new(
        settings: NodeSettings,
        me: Instance,
        incarnation: Incarnation,
        seed: u64,
        now: Millis,
    ) -> Node {
        Node {
            member: Member::new(settings.member, me, incarnation, seed, now),
            spread: Spread::new(settings.spread, seed ^ 1, now),
            published: None,
            requester: None,
        }
    }

    /// Returns the membership.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the instances that this node probes and announces changes to.
    pub fn neighbours(&mut self) -> Vec<InstanceId> {
        self.member.targets().to_vec()
    }

    /// Returns the dissemination state of the configuration.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Returns how current the configuration is, for the operator.
    pub fn sync_status(&self, now: Millis) -> SyncStatus {
        let view = self.member.view();
        let others = view.instances.iter().filter(|peer| peer.id != view.me);
        let peers = others.map(|peer| {
            let mut states = view.members.iter().filter(|state| state.id == peer.id);
            let live = states.find(|state| state.status.is_live());
            PeerSyncStatus {
                id: peer.id.clone(),
                zone: peer.zone.to_string(),
                status: live.map_or(Status::Alive, |state| state.status),
                revision: self.spread.peer_revision(&peer.id),
                heard_age: self.spread.last_heard(&peer.id).map(|at| now.since(at)),
            }
        });
        SyncStatus {
            newest_revision: self.spread.newest(),
            confirmed_age: self.spread.confirmed_at().map(|at| now.since(at)),
            peers: peers.collect(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::InstanceList(listed) => {
                let done = self.member.set_listed(&listed, now);
                self.update_spread_view();
                self.member_actions(done, &mut actions);
            }
            Event::PlatformRead(read) => {
                let done = self.spread.platform_read(read, now);
                self.spread_actions(done, &mut actions);
            }
            Event::Message(from, message) => self.receive(&from, &message, now, &mut actions),
            Event::Failed(peer) => self.failed(&peer, now, &mut actions),
            Event::Replaced(peer) => {
                let done = self.member.replaced(&peer, now);
                self.member_actions(done, &mut actions);
                self.failed(&peer, now, &mut actions);
            }
            Event::Refresh => {
                let done = self.member.refresh();
                self.member_actions(done, &mut actions);
            }
            Event::Leave => {
                let done = self.member.leave(now);
                self.member_actions(done, &mut actions);
            }
        }
        self.publish_view(&mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let done = self.member.tick(now);
        self.member_actions(done, actions);
        let peers = self.member.live().saturating_sub(1);
        self.spread.set_peers(peers, self.member.is_settled());
        if peers > 0 {
            let done = self.spread.query_peers(now);
            self.spread_actions(done, actions);
        }
        let done = self.spread.tick(now);
        self.spread_actions(done, actions);
    }

    fn receive(
        &mut self,
        from: &InstanceId,
        message: &Message,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Message { gossip, body } = message;
        self.requester = Some(from.clone());
        let done = self.member.receive(from, gossip, body, now);
        self.member_actions(done, actions);
        let done = self.spread.receive(from, gossip, body, now);
        self.spread_actions(done, actions);
        self.requester = None;
    }

    fn failed(&mut self, peer: &InstanceId, now: Millis, actions: &mut Vec<Action>) {
        let done = self.member.failed(peer, now);
        self.member_actions(done, actions);
        let done = self.spread.failed(peer, now);
        self.spread_actions(done, actions);
    }

    fn member_actions(&mut self, done: Vec<MemberAction>, actions: &mut Vec<Action>) {
        for action in done {
            actions.push(match action {
                MemberAction::Send(to, body) => self.send(to, body),
                MemberAction::Reply(body) => self.reply(body),
                MemberAction::Report(finding) => Action::Report(Finding::Member(finding)),
            });
        }
    }

    fn spread_actions(&mut self, done: Vec<SpreadAction>, actions: &mut Vec<Action>) {
        for action in done {
            match action {
                SpreadAction::Send(to, body) => self.send_to(&to, body, actions),
                SpreadAction::Reply(body) => actions.push(self.reply(body)),
                SpreadAction::Announce(revision) => self.announce(revision, actions),
                SpreadAction::Query(count) => self.query(count, actions),
                SpreadAction::ReadIndex => actions.push(Action::ReadIndex),
                SpreadAction::WatchIndex { after, wait } => {
                    actions.push(Action::WatchIndex { after, wait });
                }
                SpreadAction::ReadPart(team) => actions.push(Action::ReadPart(team)),
                SpreadAction::InForce(snapshot) => actions.push(Action::InForce(snapshot)),
                SpreadAction::Report(finding) => {
                    actions.push(Action::Report(Finding::Spread(finding)));
                }
            }
        }
    }

    /// Announces a revision over the connections that probes keep open.
    fn announce(&mut self, revision: u64, actions: &mut Vec<Action>) {
        let mut behind = self.neighbours();
        behind.retain(|peer| self.spread.peer_revision(peer) < revision);
        // Rotated by revision: always choosing the first ones by name would leave some instances
        // out.
        let turn = revision as usize % behind.len().max(1);
        behind.rotate_left(turn);
        for peer in behind.iter().take(self.spread.fanout()) {
            self.send_to(peer, Body::Announce(revision), actions);
        }
    }

    fn query(&mut self, count: usize, actions: &mut Vec<Action>) {
        for peer in self.member.sample(count) {
            actions.push(self.send(peer, Body::Query));
        }
    }

    fn send_to(&mut self, id: &InstanceId, body: Body, actions: &mut Vec<Action>) {
        if let Some(instance) = self.member.locate(id) {
            actions.push(self.send(instance, body));
        }
    }

    fn send(&mut self, to: Instance, body: Body) -> Action {
        let mut updates = self.member.updates(&to.id);
        // The receiver may not know the instance that asks for its view: an instance that started
        // while the platform is down isn't on any list. Without its address, the receiver could
        // answer it but never call it.
        if matches!(body, Body::Sync(_)) {
            updates.push(self.member.introduction());
        }
        let gossip = self.gossip(updates);
        Action::Send(to, Message { gossip, body })
    }

    fn reply(&mut self, body: Body) -> Action {
        let requester = self.requester.as_ref();
        let updates = requester.map(|id| self.member.updates(id));
        let gossip = self.gossip(updates.unwrap_or_default());
        Action::Reply(Message { gossip, body })
    }

    fn gossip(&self, updates: Vec<Update>) -> Gossip {
        Gossip {
            incarnation: self.member.incarnation(),
            revision: self.spread.held().revision,
            view_digest: self.member.digest(),
            config_digest: self.spread.digest(),
            updates,
        }
    }

    fn update_spread_view(&mut self) {
        let view = self.member.view();
        self.spread.view_changed(&view, self.member.listed_count());
    }

    fn publish_view(&mut self, actions: &mut Vec<Action>) {
        let published = Some((self.member.version(), self.member.is_settled()));
        if self.published == published {
            return;
        }
        self.published = published;
        let view = self.member.view();
        self.spread.view_changed(&view, self.member.listed_count());
        actions.push(Action::ViewChanged(view));
    }
}
