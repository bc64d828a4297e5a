//! What the rest of the process holds of the peers' thread.

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
use crate::runtime::error::CallError;
use crate::spread::PlatformRead;
use crate::spread::Snapshot;
use crate::sync_status::SyncStatus;

/// Notices that a subscriber may leave unread before it misses some.
const NOTICE_BACKLOG: usize = 256;

/// A read of the platform that the embedder should make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Read the index; answer with [`PlatformRead::Index`].
    ReadIndex,
    /// Watch the index; answer with [`PlatformRead::Index`].
    WatchIndex {
        /// The revision that is known.
        after: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Read a part; answer with [`PlatformRead::Part`].
    ReadPart(Arc<str>),
}

/// Something changed. A slow subscriber misses notices, never the state that they point to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// [`PeerHandle::view`] changed.
    View,
    /// [`PeerHandle::config`] changed.
    Config,
    /// An operator should know something.
    Finding(Finding),
}

/// What the peers' thread is told.
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

/// State that the peers' thread shows to the rest of the process.
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

/// Handle of a running [`PeerNode`](crate::PeerNode). Cheap to clone; can be sent to any thread.
#[derive(Clone)]
pub struct PeerHandle {
    pub(crate) me: Instance,
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: Sender<Command>,
}

impl PeerHandle {
    /// This instance, with the port that was bound.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// The live view.
    pub fn view(&self) -> View {
        self.shared.state().view.clone()
    }

    /// The configuration in force; none while the instance isn't ready.
    pub fn config(&self) -> Option<Snapshot> {
        self.shared.state().config.clone()
    }

    /// Notices of changes from now on.
    pub fn subscribe(&self) -> Receiver<Notice> {
        let (sender, receiver) = bounded(NOTICE_BACKLOG);
        self.shared.state().subscribers.push(sender);
        receiver
    }

    /// How fresh the configuration is at this moment; none when the thread is overloaded or stopped.
    pub async fn sync_status(&self) -> Option<SyncStatus> {
        let (answer, answered) = oneshot::channel();
        self.commands.try_send(Command::SyncStatus(answer)).ok()?;
        answered.await.ok()
    }

    /// Gives the platform's instance list in. Lost when the thread is overloaded; give it in again
    /// with the next read.
    pub fn instance_list(&self, listed: Vec<ListedInstance>) {
        self.send_event(Event::InstanceList(listed));
    }

    /// Gives the outcome of a [`PlatformRequest`] in.
    pub fn platform_read(&self, read: PlatformRead) {
        self.send_event(Event::PlatformRead(read));
    }

    /// Makes a coordination call, which fails at `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// See [`CallError`], which also says when the peer certainly didn't get the call.
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

    /// Asks some peers for their views; returns when they have answered, or didn't for a second.
    /// Gossip may be behind by seconds, and who leaves must know to whom to hand over.
    pub async fn refresh(&self) {
        let (done, answered) = oneshot::channel();
        if self.commands.send(Command::Refresh(done)).await.is_ok() {
            let _ = answered.await;
        }
    }

    /// Leaves as planned; returns when the neighbours were told, or couldn't be for a second. The
    /// node goes on answering until [`PeerHandle::stop`].
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
