//! The handle through which the rest of the process uses the peers' thread.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use crocushold_base::Millis;
use futures::channel::oneshot;

use crate::coordination::Request;
use crate::coordination::Response;
use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::member::ListedInstance;
use crate::member::View;
use crate::node::Event;
use crate::node::Finding;
use crate::shell::error::CallError;
use crate::spread::PlatformRead;
use crate::spread::Snapshot;
use crate::sync_status::SyncStatus;

/// Number of notices buffered for a subscriber; further ones are dropped.
const NOTICE_BACKLOG: usize = 256;

/// A read of the platform that the embedder must make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Read the index; answer with [`PlatformRead::Index`].
    ReadIndex,
    /// Watch the index; answer with [`PlatformRead::Index`].
    WatchIndex {
        /// The known revision.
        after: u64,
        /// The maximum time to wait.
        wait: Millis,
    },
    /// Read a part; answer with [`PlatformRead::Part`].
    ReadPart(Arc<str>),
}

/// A notice of a change. A slow subscriber may miss notices, but never the state that they refer
/// to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// [`PeerHandle::view`] changed.
    View,
    /// [`PeerHandle::config`] changed.
    Config,
    /// A finding for the operator.
    Finding(Finding),
}

/// A command to the peers' thread.
pub(crate) enum Command {
    Event(Event),
    Call {
        peer: InstanceId,
        request: Request,
        deadline: Millis,
        answer: oneshot::Sender<Result<Response, CallError>>,
    },
    Refresh(oneshot::Sender<()>),
    SyncStatus(oneshot::Sender<SyncStatus>),
    Leave(oneshot::Sender<()>),
    Stop,
}

#[derive(Debug)]
struct State {
    view: View,
    config: Option<Snapshot>,
    subscribers: Vec<Sender<Notice>>,
}

/// State that the peers' thread publishes to the rest of the process.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn new(view: View) -> Shared {
        let state = State {
            view,
            config: None,
            subscribers: Vec::new(),
        };
        Shared {
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_view(&self, view: View) {
        self.state().view = view;
        self.notify(&Notice::View);
    }

    pub(crate) fn set_config(&self, config: Snapshot) {
        self.state().config = Some(config);
        self.notify(&Notice::Config);
    }

    pub(crate) fn notify(&self, notice: &Notice) {
        let mut state = self.state();
        state
            .subscribers
            .retain(|subscriber| !subscriber.is_closed());
        for subscriber in &state.subscribers {
            let _ = subscriber.try_send(notice.clone());
        }
    }
}

/// Handle to a running [`PeerNode`](crate::PeerNode). Cheap to clone; can be sent to any thread.
#[derive(Clone)]
pub struct PeerHandle {
    pub(crate) me: Instance,
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: Sender<Command>,
}

impl PeerHandle {
    /// Returns this instance, with the port that was bound.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// Returns the live view.
    pub fn view(&self) -> View {
        self.shared.state().view.clone()
    }

    /// Returns the configuration in force; `None` while the instance isn't ready.
    pub fn config(&self) -> Option<Snapshot> {
        self.shared.state().config.clone()
    }

    /// Subscribes to notices of changes.
    pub fn subscribe(&self) -> Receiver<Notice> {
        let (sender, receiver) = bounded(NOTICE_BACKLOG);
        self.shared.state().subscribers.push(sender);
        receiver
    }

    /// Returns how current the configuration is; `None` if the thread is overloaded or stopped.
    pub async fn sync_status(&self) -> Option<SyncStatus> {
        let (answer, answered) = oneshot::channel();
        self.commands.try_send(Command::SyncStatus(answer)).ok()?;
        answered.await.ok()
    }

    /// Passes the platform's instance list to the node. It is dropped if the thread is overloaded;
    /// pass it again with the next read.
    pub fn instance_list(&self, listed: Vec<ListedInstance>) {
        self.send_event(Event::InstanceList(listed));
    }

    /// Passes the result of a [`PlatformRequest`] to the node.
    pub fn platform_read(&self, read: PlatformRead) {
        self.send_event(Event::PlatformRead(read));
    }

    /// Makes a coordination call, which fails at `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// See [`CallError`], which also states when the peer certainly didn't receive the call.
    pub async fn call(
        &self,
        peer: &InstanceId,
        request: Request,
        deadline: Millis,
    ) -> Result<Response, CallError> {
        let (answer, answered) = oneshot::channel();
        let command = Command::Call {
            peer: peer.clone(),
            request,
            deadline,
            answer,
        };
        self.commands.try_send(command).map_err(|err| {
            if err.is_full() {
                CallError::Busy
            } else {
                CallError::Stopped
            }
        })?;
        answered.await.unwrap_or(Err(CallError::Stopped))
    }

    /// Requests the views of some peers; returns once they have answered, or after one second.
    /// Gossip may lag by seconds, and a leaving instance must know which members to hand its state
    /// over to.
    pub async fn refresh(&self) {
        let (done, answered) = oneshot::channel();
        if self.commands.send(Command::Refresh(done)).await.is_ok() {
            let _ = answered.await;
        }
    }

    /// Leaves the membership; returns once the neighbours have been told, or after one second. The
    /// node keeps answering until [`PeerHandle::stop`].
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_ok() {
            let _ = left.await;
        }
    }

    /// Stops the thread and closes all connections.
    pub async fn stop(&self) {
        let _ = self.commands.send(Command::Stop).await;
    }

    fn send_event(&self, event: Event) {
        let _ = self.commands.try_send(Command::Event(event));
    }
}
