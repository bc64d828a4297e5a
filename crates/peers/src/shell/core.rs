//! State shared by the tasks of the peers' thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use async_std::channel::Sender;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Event as Record;
use crocushold_base::Millis;
use crocushold_ownership::Member;
use log::info;
use log::warn;

use crate::coordination::Handler;
use crate::coordination::Request;
use crate::coordination::Response;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::message::Body;
use crate::message::Message;
use crate::node::Action;
use crate::node::Event;
use crate::node::Finding;
use crate::node::Node;
use crate::shell::calls;
use crate::shell::clients::Clients;
use crate::shell::error::CallError;
use crate::shell::handle::Notice;
use crate::shell::handle::PlatformRequest;
use crate::shell::handle::Shared;
use crate::shell::server::IncomingCounts;
use crate::shell::settings::Settings;
use crate::sync_status::SyncStatus;

/// The node with its connections and channels, on one thread.
pub(crate) struct Core {
    pub(crate) settings: Rc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) incoming: IncomingCounts,
    pub(crate) clients: Clients,
    node: RefCell<Node>,
    shared: Arc<Shared>,
    platform: Sender<PlatformRequest>,
    in_flight: Cell<usize>,
    failed_proofs: Cell<u64>,
}

impl Core {
    pub(crate) fn new(
        settings: Rc<Settings>,
        clock: Clock,
        node: Node,
        handler: Arc<dyn Handler>,
        shared: Arc<Shared>,
        platform: Sender<PlatformRequest>,
    ) -> Core {
        Core {
            clients: Clients::new(settings.clone(), clock),
            settings,
            clock,
            handler,
            incoming: IncomingCounts::default(),
            node: RefCell::new(node),
            shared,
            platform,
            in_flight: Cell::new(0),
            failed_proofs: Cell::new(0),
        }
    }

    /// Passes an event to the node and carries out the resulting actions; returns its answer to a
    /// message.
    pub(crate) fn feed(self: &Rc<Self>, event: Event) -> Option<Message> {
        let now = self.clock.now();
        let actions = self.node.borrow_mut().handle(event, now);
        let mut reply = None;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, message),
                Action::Reply(message) => reply = Some(message),
                Action::ReadIndex => self.ask_platform(PlatformRequest::ReadIndex),
                Action::WatchIndex { after, wait } => {
                    self.ask_platform(PlatformRequest::WatchIndex { after, wait });
                }
                Action::ReadPart(team) => self.ask_platform(PlatformRequest::ReadPart(team)),
                Action::ViewChanged(view) => self.shared.set_view(view),
                Action::InForce(snapshot) => self.shared.set_config(snapshot),
                Action::Report(finding) => self.report(finding),
            }
        }
        reply
    }

    /// Returns how current the configuration is, for the operator.
    pub(crate) fn sync_status(&self) -> SyncStatus {
        self.node.borrow().sync_status(self.clock.now())
    }

    fn ask_platform(&self, request: PlatformRequest) {
        // If the channel is full, the embedder is behind; the read is requested again later.
        let _ = self.platform.try_send(request);
    }

    fn report(&self, finding: Finding) {
        let record = Record::new("peer-finding").with("finding", format!("{finding:?}"));
        info!("{record}");
        self.shared.notify(&Notice::Finding(finding));
    }

    fn send(self: &Rc<Self>, to: Instance, message: Message) {
        let core = self.clone();
        self.in_flight.set(self.in_flight.get() + 1);
        task::spawn_local(async move {
            core.exchange(to, message).await;
            core.in_flight.set(core.in_flight.get() - 1);
        });
    }

    async fn exchange(self: &Rc<Self>, to: Instance, message: Message) {
        let deadline = self.settings.limits.exchange_timeout;
        let make = |session| calls::exchange(session, message);
        let outcome = self.clients.call(&to, deadline, make).await;
        match outcome {
            Ok(answer) if answer.body == Body::None => {}
            Ok(answer) => {
                self.feed(Event::Message(to.id, answer));
            }
            Err(CallError::Replaced(_)) => {
                self.feed(Event::Replaced(to.id));
            }
            Err(err) => {
                let record = Record::new("peer-unreachable")
                    .with("peer", &to.id)
                    .with("cause", err);
                log::debug!("{record}");
                self.feed(Event::Failed(to.id));
            }
        }
    }

    /// Makes a coordination call for the embedder.
    pub(crate) async fn coordinate(
        self: &Rc<Self>,
        peer: InstanceId,
        request: Request,
        deadline: Millis,
    ) -> Result<Response, CallError> {
        if peer == self.settings.me.id {
            let me = Member::new(peer.as_str(), self.settings.start);
            return Ok(self.handler.handle(me, request));
        }
        let known = self.node.borrow().member().locate(&peer);
        let instance = known.ok_or(CallError::NoPeer)?;
        let make = |session| calls::coordinate(session, request);
        self.clients.call(&instance, deadline, make).await
    }

    /// Returns whether messages are being sent.
    pub(crate) fn is_sending(&self) -> bool {
        self.in_flight.get() > 0
    }

    /// Counts a failed proof, and logs the first one and every hundredth after it.
    pub(crate) fn count_failed_proof(&self) {
        let count = self.failed_proofs.get();
        self.failed_proofs.set(count + 1);
        if count.is_multiple_of(100) {
            let record = Record::new("peer-not-admitted").with("count", count + 1);
            warn!("{record}");
        }
    }
}
