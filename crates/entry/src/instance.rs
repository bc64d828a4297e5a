//! A running entry instance: its listeners, its tasks, and its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::future::timeout;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config::CallerLimits;
use crocushold_config::Settings;
use crocushold_http::EndedWaits;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::OverloadPolicy;
use crocushold_http::ServerLimits;
use crocushold_http::WaitLimits;
use crocushold_peers as peers;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::SharedKey;
use log::info;
use log::warn;
use quick_error::quick_error;
use twox_hash::XxHash3_64;

use crate::apply;
use crate::callers;
use crate::operator;
use crate::polling;
use crate::publish;
use crate::publish::Addresses;
use crate::refusal::refuse_unread;
use crate::shared::Shared;

/// Maximum number of connections of balancers, metrics scrapers and operators.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Interval of reports on waits that were ended.
const REPORT_INTERVAL: Millis = Millis::from_secs(1);

quick_error! {
    /// Why an instance could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// Failed to listen on an address.
        Bind(address: SocketAddr, cause: io::Error) {
            display("can't listen on {address}: {cause}")
            source(cause)
        }
        /// Failed to start the peer node.
        Peers(address: SocketAddr, cause: peers::StartError) {
            display("can't start the peer node on {address}: {cause}")
            source(cause)
        }
    }
}

/// An entry instance; started by [`Instance::start`].
#[derive(Debug)]
pub struct Instance;

impl Instance {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or the peer node can't be started.
    pub async fn start(settings: Settings) -> Result<InstanceHandle, StartError> {
        let started = wall_clock();
        let seed = started ^ XxHash3_64::oneshot(settings.id.as_bytes());
        let callers = bind(settings.listen, caller_limits(&settings.limits)).await?;
        let operators = bind(settings.operator, operator_limits()).await?;
        let listen = local_addr(&callers, settings.listen)?;
        let operator = local_addr(&operators, settings.operator)?;
        let shared = Arc::new(Shared::new(settings, started, seed));
        let peers = start_peers(&shared, started)?;
        let handle = callers.handle();
        let serving = spawn_callers(callers, &shared);
        spawn_operators(operators, &shared);
        task::spawn(report_waits(shared.clone(), handle.clone()));
        task::spawn(polling::poll(shared.clone()));
        let event = Event::new("started")
            .with("listen", listen)
            .with("operator", operator)
            .with("peer", peers.me().address);
        info!("{event}");
        Ok(InstanceHandle {
            listen,
            operator,
            callers: handle,
            serving,
            peers,
            shared,
        })
    }
}

/// Controls a running instance.
pub struct InstanceHandle {
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which operators connect.
    pub operator: SocketAddr,
    callers: ListenerHandle,
    serving: JoinHandle<()>,
    peers: PeerHandle,
    shared: Arc<Shared>,
}

impl InstanceHandle {
    /// Address on which peers connect.
    pub fn peer(&self) -> SocketAddr {
        self.peers.me().address
    }

    /// Shuts down gracefully. The health check fails first. Requests are served until the balancer
    /// has noticed, then no connection is accepted and open ones run to their end.
    ///
    /// Returns the number of connections that were still open when the drain timeout expired. They
    /// are closed when the process exits.
    pub async fn stop(self) -> usize {
        self.shared.start_drain();
        info!("{}", Event::new("drain-started"));
        task::sleep(self.shared.settings.notice.into()).await;
        self.callers.stop();
        let drained = timeout(self.shared.settings.drain.into(), self.serving).await;
        let open = match drained {
            Ok(()) => 0,
            Err(_) => self.callers.connections(),
        };
        // The peers come last: until the instance leaves, they count it in when they split limits,
        // and it uses no more than its share. A peer that joined recently may be unknown here. It
        // would receive neither the records nor the notice that this instance leaves, and would
        // count it as lost; two such losses make new members refuse fresh keys for a whole window.
        // A new member that serves is known to nearly all others, so some of those asked will name
        // it.
        self.peers.refresh().await;
        self.shared.on_view(&self.peers.view());
        self.shared.coordinator.hand_over().await;
        self.peers.leave().await;
        self.peers.stop().await;
        let event = Event::new("drain-ended").with("open", open);
        if open > 0 {
            warn!("{event}");
        } else {
            info!("{event}");
        }
        open
    }
}

/// Milliseconds since the Unix epoch; orders the incarnations of an instance.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

fn operator_limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        server: ServerLimits {
            wait: WaitLimits::PROMPT,
            ..ServerLimits::default()
        },
        ..ListenerLimits::default()
    }
}

fn caller_limits(limits: &CallerLimits) -> ListenerLimits {
    ListenerLimits {
        max_connections: limits.connections as usize,
        overload: OverloadPolicy::Answer,
        retry_after: Millis::from_secs(1),
        server: ServerLimits {
            head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
            body_bytes: limits.body_bytes,
            head_timeout: limits.head_timeout,
            body_timeout: limits.body_timeout,
            idle_timeout: limits.idle_timeout,
            write_timeout: limits.write_timeout,
            wait: wait_limits(limits),
            refuse: refuse_unread,
            ..ServerLimits::default()
        },
    }
}

/// Reports waits for callers that were ended in favour of others.
async fn report_waits(shared: Arc<Shared>, callers: ListenerHandle) {
    let mut reported = EndedWaits::default();
    loop {
        task::sleep(REPORT_INTERVAL.into()).await;
        let total = callers.ended_waits();
        let ended = total.since(reported);
        reported = total;
        if ended == EndedWaits::default() {
            continue;
        }
        let mut event = Event::new("waits-ended");
        for (awaited, count) in ended.by_label() {
            shared.metrics.count_ended_waits(awaited, count);
            event = event.with(awaited, count);
        }
        warn!("{event}");
    }
}

/// When callers may be let go in favour of others.
pub(crate) fn wait_limits(limits: &CallerLimits) -> WaitLimits {
    WaitLimits {
        patience: limits.patience,
        min_rate: limits.min_rate,
    }
}

async fn bind(address: SocketAddr, limits: ListenerLimits) -> Result<Listener, StartError> {
    let listener = Listener::bind(address, limits).await;
    listener.map_err(|cause| StartError::Bind(address, cause))
}

fn local_addr(listener: &Listener, asked: SocketAddr) -> Result<SocketAddr, StartError> {
    let address = listener.local_addr();
    address.map_err(|cause| StartError::Bind(asked, cause))
}

fn start_peers(shared: &Arc<Shared>, started: u64) -> Result<PeerHandle, StartError> {
    let settings = &shared.settings;
    let me = peers::Instance::new(&settings.id, settings.peer, &settings.zone);
    let key = SharedKey::new(settings.peer_key.expose().as_bytes());
    let node = peers::Settings::new(me, key, started, shared.seed);
    let node = PeerNode::start(node, shared.coordinator.clone());
    let node = node.map_err(|cause| StartError::Peers(settings.peer, cause))?;
    let handle = node.handle;
    let notices = handle.subscribe();
    shared.set_peers(handle.clone());
    shared.coordinator.connect(handle.clone());
    task::spawn(shared.coordinator.clone().run_timers());
    task::spawn(shared.coordinator.clone().run_lending());
    task::spawn(shared.coordinator.clone().run_orders());
    task::spawn(shared.coordinator.clone().run_suspects());
    task::spawn(apply::follow(shared.clone(), handle.clone(), notices));
    if let Some(addresses) = Addresses::new(&settings.platform) {
        task::spawn(publish::run_reads(
            shared.clone(),
            handle.clone(),
            addresses.clone(),
            node.platform,
        ));
        task::spawn(publish::poll_instances(
            shared.clone(),
            handle.clone(),
            addresses,
        ));
    }
    Ok(handle)
}

fn spawn_callers(listener: Listener, shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = shared.clone();
    task::spawn(listener.run_per_connection(move || {
        let shared = shared.clone();
        let connection = Arc::new(shared.connections.open());
        move |request, hangup| {
            let shared = shared.clone();
            let connection = connection.clone();
            async move { callers::handle(&shared, &connection, request, hangup).await }
        }
    }))
}

fn spawn_operators(listener: Listener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    task::spawn(listener.run(move |request, _| {
        let shared = shared.clone();
        async move { operator::handle(&shared, &request).await }
    }));
}
