//! The runtime of a [`Node`]: sockets, timers and a dedicated thread.
//!
//! RPC systems can't move between threads, so all of them run on one thread with a local executor;
//! the rest of the process communicates with it over channels.

mod calls;
mod circuit;
mod clients;
mod connect;
mod core;
mod error;
mod handle;
mod server;
mod settings;

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::net::TcpListener;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::Millis;
use futures::channel::oneshot;
use futures::future::AbortHandle;
use futures::future::abortable;

use crate::coordination::Handler;
use crate::identity::Incarnation;
use crate::node::Event;
use crate::node::Node;
use crate::shell::core::Core;
use crate::shell::handle::Command;
use crate::shell::handle::Shared;

pub use error::CallError;
pub use error::StartError;
pub use handle::Notice;
pub use handle::PeerHandle;
pub use handle::PlatformRequest;
pub use settings::Limits;
pub use settings::Settings;
pub use settings::Versions;

/// Interval between two ticks.
const TICK: Millis = Millis(100);

/// Interval between two checks for idle connections.
const IDLE_CHECK_INTERVAL: Millis = Millis::from_secs(10);

/// Delay after a failed accept, such as when the process has no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum time to wait for the neighbours to be told that this instance leaves, or to answer with
/// their views.
const SEND_TIMEOUT: Millis = Millis::from_secs(1);

/// Capacity of the channel of commands to the thread.
const COMMAND_BACKLOG: usize = 1024;

/// Capacity of the channel of platform reads to the embedder.
const PLATFORM_REQUEST_BACKLOG: usize = 64;

/// A node with a dedicated thread.
pub struct PeerNode;

/// A started [`PeerNode`].
pub struct Started {
    /// The handle.
    pub handle: PeerHandle,
    /// Platform reads that the embedder must make, and answer through the handle.
    pub platform: Receiver<PlatformRequest>,
}

/// Everything that the thread is started with.
struct Setup {
    settings: Settings,
    node: Node,
    clock: Clock,
    listener: StdListener,
    handler: Arc<dyn Handler>,
    shared: Arc<Shared>,
    commands: Receiver<Command>,
    platform: Sender<PlatformRequest>,
}

impl PeerNode {
    /// Binds the address and starts the thread. It runs until [`PeerHandle::stop`] is called or all
    /// handles are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(mut settings: Settings, handler: Arc<dyn Handler>) -> Result<Started, StartError> {
        let listener = StdListener::bind(settings.listen)?;
        if settings.me.address.port() == 0 {
            settings.me.address.set_port(listener.local_addr()?.port());
        }
        let me = settings.me.clone();
        let clock = Clock::start();
        let incarnation = Incarnation::starting(settings.start);
        let node = Node::new(
            settings.node.clone(),
            me.clone(),
            incarnation,
            settings.seed,
            clock.now(),
        );
        let shared = Arc::new(Shared::new(node.member().view()));
        let (commands, received) = bounded(COMMAND_BACKLOG);
        let (platform, requests) = bounded(PLATFORM_REQUEST_BACKLOG);
        let setup = Setup {
            settings,
            node,
            clock,
            listener,
            handler,
            shared: shared.clone(),
            commands: received,
            platform,
        };
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || task::block_on(run(setup)))?;
        let handle = PeerHandle {
            me,
            shared,
            commands,
        };
        Ok(Started {
            handle,
            platform: requests,
        })
    }
}

async fn run(setup: Setup) {
    let listener = TcpListener::from(setup.listener);
    let core = Rc::new(Core::new(
        Rc::new(setup.settings),
        setup.clock,
        setup.node,
        setup.handler,
        setup.shared,
        setup.platform,
    ));
    let tasks = [
        start_task(accept(core.clone(), listener)),
        start_task(tick(core.clone())),
        start_task(close_idle(core.clone())),
    ];
    while let Ok(command) = setup.commands.recv().await {
        match command {
            Command::Event(event) => {
                core.feed(event);
            }
            Command::Call {
                peer,
                request,
                deadline,
                answer,
            } => {
                let core = core.clone();
                task::spawn_local(async move {
                    let outcome = core.coordinate(peer, request, deadline).await;
                    let _ = answer.send(outcome);
                });
            }
            Command::Refresh(done) => {
                core.feed(Event::Refresh);
                task::spawn_local(notify_when_sent(core.clone(), done));
            }
            Command::SyncStatus(answer) => {
                let _ = answer.send(core.sync_status());
            }
            Command::Leave(done) => {
                core.feed(Event::Leave);
                task::spawn_local(notify_when_sent(core.clone(), done));
            }
            Command::Stop => break,
        }
    }
    // Calls that are still queued would otherwise wait as long as a handle exists.
    setup.commands.close();
    while setup.commands.try_recv().is_ok() {}
    for task in tasks {
        task.abort();
    }
    core.clients.close();
}

fn start_task(work: impl Future<Output = ()> + 'static) -> AbortHandle {
    let (running, handle) = abortable(work);
    task::spawn_local(running);
    handle
}

async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => server::serve(&core, stream),
            Err(_) => task::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn tick(core: Rc<Core>) {
    loop {
        core.feed(Event::Tick);
        task::sleep(Duration::from(TICK)).await;
    }
}

async fn close_idle(core: Rc<Core>) {
    loop {
        task::sleep(Duration::from(IDLE_CHECK_INTERVAL)).await;
        core.clients.close_idle();
    }
}

async fn notify_when_sent(core: Rc<Core>, done: oneshot::Sender<()>) {
    let began = core.clock.now();
    while core.is_sending() && core.clock.now().since(began) < SEND_TIMEOUT {
        task::sleep(Duration::from(Millis(10))).await;
    }
    let _ = done.send(());
}
