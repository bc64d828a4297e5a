//! One running entry instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use async_std::task;
use async_std::task::JoinHandle;
use crocushold_base::Clock;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_config::Credential;
use crocushold_config::Text;
use crocushold_http::Client;
use crocushold_http::Hangup;
use crocushold_http::Listener;
use crocushold_http::ListenerHandle;
use crocushold_http::ListenerLimits;
use crocushold_http::PoolLimits;
use crocushold_metrics::InstanceInfo;
use crocushold_metrics::Metrics;
use crocushold_metrics::status::InstanceState;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use log::info;
use log::warn;
use quick_error::quick_error;
use serde::Serialize;

use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::intake::key_of;
use crate::intake::read_job;
use crate::operator;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::sync;
use crate::world::Builder;
use crate::world::World;

/// What an instance is told when it starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name in the platform's list.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the operator connects.
    pub operator: SocketAddr,
    /// The platform's address; `None` runs without a configuration.
    pub platform: Option<SocketAddr>,
    /// Bounds on callers.
    pub limits: ListenerLimits,
    /// How long the balancer may take to notice that the health answer fails.
    pub notice: Millis,
    /// How long requests in progress may go on after that.
    pub drain: Millis,
    /// The seed of random choices.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Options {
            instance: "entry".to_owned(),
            zone: String::new(),
            listen: any,
            operator: any,
            platform: None,
            limits: ListenerLimits::default(),
            notice: Millis::from_secs(5),
            drain: Millis::from_secs(600),
            seed: 0,
        }
    }
}

quick_error! {
    /// Why an instance could not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Bind(address: SocketAddr, cause: io::Error) {
            display("can't listen on {address}: {cause}")
            source(cause)
        }
    }
}

/// What is known of one team's part of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct PartInfo {
    pub(crate) team: String,
    pub(crate) published: u64,
    pub(crate) in_force: u64,
    pub(crate) findings: u64,
}

/// What the tasks of an instance share.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    builder: Builder,
    world: RwLock<Arc<World>>,
    parts: Mutex<Vec<PartInfo>>,
    draining: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    fn new(options: Options) -> Shared {
        let clock = Clock::start();
        let metrics = Metrics::new(&InstanceInfo {
            instance: options.instance.clone(),
            zone: options.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        });
        let builder = Builder {
            clock,
            zone: options.zone.clone(),
            seed: options.seed,
            metrics: metrics.clone(),
        };
        Shared {
            clock,
            client: Client::new(PoolLimits::default()),
            metrics,
            builder,
            world: RwLock::new(Arc::new(Builder::empty())),
            parts: Mutex::new(Vec::new()),
            draining: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            options,
        }
    }

    /// The configuration in force.
    pub(crate) fn world(&self) -> Arc<World> {
        let world = self.world.read();
        world.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What is known of the configuration's parts.
    pub(crate) fn parts(&self) -> Vec<PartInfo> {
        let parts = self.parts.lock();
        parts.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a newer revision of the configuration in force.
    pub(crate) fn put_in_force(&self, text: &Text, revision: u64, parts: Vec<PartInfo>) {
        let before = self.world();
        // Never reverting: readings can finish out of order, and the later one may be the older.
        if revision <= before.revision {
            return;
        }
        let next = self.builder.next(&before, text, revision);
        *self.world.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        *self.parts.lock().unwrap_or_else(PoisonError::into_inner) = parts;
    }

    /// The stage of the instance's life.
    pub(crate) fn state(&self) -> InstanceState {
        if self.draining.load(Ordering::Relaxed) {
            InstanceState::Draining
        } else if self.world().revision == 0 {
            InstanceState::Starting
        } else {
            InstanceState::Serving
        }
    }

    fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.options.instance)
    }
}

/// A running entry instance; made by [`Instance::start`].
#[derive(Debug)]
pub struct Instance;

impl Instance {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(options: Options) -> Result<InstanceHandle, StartError> {
        let callers = bind(options.listen, options.limits.clone()).await?;
        let operators = bind(options.operator, ListenerLimits::default()).await?;
        let listen = local_addr(&callers, options.listen)?;
        let operator = local_addr(&operators, options.operator)?;
        let shared = Arc::new(Shared::new(options));
        let handle = callers.handle();
        let serving = spawn_callers(callers, &shared);
        spawn_operators(operators, &shared);
        if let Some(platform) = shared.options.platform {
            task::spawn(sync::follow_config(shared.clone(), platform));
        }
        info!(
            "{}",
            Event::new("started")
                .with("listen", listen)
                .with("operator", operator)
        );
        Ok(InstanceHandle {
            listen,
            operator,
            callers: handle,
            serving,
            shared,
        })
    }
}

/// Controls a running instance.
pub struct InstanceHandle {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the operator connects.
    pub operator: SocketAddr,
    callers: ListenerHandle,
    serving: JoinHandle<()>,
    shared: Arc<Shared>,
}

impl InstanceHandle {
    /// Stops gracefully: the health answer fails first, requests are served until the balancer has
    /// noticed, then no connection is accepted and those in progress end by themselves.
    ///
    /// Returns the number of connections that were still open at the bound of the drain; they are
    /// cut when the process ends.
    pub async fn stop(self) -> usize {
        self.shared.draining.store(true, Ordering::Relaxed);
        info!("{}", Event::new("drain-started"));
        task::sleep(self.shared.options.notice.into()).await;
        self.callers.stop();
        let drain = self.shared.options.drain;
        if timeout(drain.into(), self.serving).await.is_err() {
            let open = self.callers.connections();
            warn!("{}", Event::new("drain-ended").with("open", open));
            return open;
        }
        info!("{}", Event::new("drain-ended").with("open", 0));
        0
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

fn spawn_callers(listener: Listener, shared: &Arc<Shared>) -> JoinHandle<()> {
    let shared = shared.clone();
    task::spawn(listener.run(move |request, hangup| {
        let shared = shared.clone();
        async move { serve(&shared, request, hangup).await }
    }))
}

fn spawn_operators(listener: Listener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    task::spawn(listener.run(move |request, _| {
        let shared = shared.clone();
        async move { operator::answer(&shared, &request) }
    }));
}

/// Answers one caller.
async fn serve(shared: &Arc<Shared>, request: Request, hangup: Hangup) -> Response {
    let id = shared.request_id();
    let mut response = match answer(shared, request, &hangup, &id).await {
        Ok(response) => response,
        Err(Failure::Refused(refusal)) => refusal.into_response(),
        // Nobody reads it.
        Err(Failure::CallerGone) => Response::new(499),
    };
    response.insert_header("x-request-id", &id);
    response
}

async fn answer(
    shared: &Arc<Shared>,
    mut request: Request,
    hangup: &Hangup,
    id: &str,
) -> Result<Response, Failure> {
    let arrived = shared.clock.now();
    let world = shared.world();
    if world.revision == 0 {
        let refusal = Refusal::not_run(Reason::NotServing, "no configuration is in force yet");
        return Err(Failure::Refused(refusal.retry_after(Millis::from_secs(1))));
    }
    if request.method() == Method::Get && request.url().path() == "/v1/models" {
        return list_models(&world, &request).map_err(Failure::Refused);
    }
    let limits = &shared.options.limits.server;
    let job = read_job(&world, &mut request, limits, arrived)
        .await
        .map_err(Failure::Refused)?;
    let exchange = Exchange {
        client: &shared.client,
        clock: shared.clock,
        pool: world.pools[&job.resolved.service].clone(),
        metrics: world.classes[&job.resolved.class].clone(),
        id,
        arrived,
        job,
    };
    exchange.run(hangup).await
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// The models that the caller's account may use.
fn list_models(world: &World, request: &Request) -> Result<Response, Refusal> {
    let credential = Credential::of(key_of(request)?);
    let unknown = || Refusal::from_config(crocushold_config::Refusal::UnknownKey);
    let account = world.catalog.account_of(&credential).ok_or_else(unknown)?;
    let classes = &world.catalog.accounts[account].classes;
    let services = classes
        .iter()
        .map(|&class| world.catalog.classes[class].service);
    let models = services.flat_map(|service| &world.catalog.services[service].models);
    let mut ids: Vec<&str> = models
        .map(|&model| world.catalog.models[model].id.as_str())
        .collect();
    ids.sort_unstable();
    ids.dedup();
    let list = ModelList {
        object: "list",
        data: ids
            .into_iter()
            .map(|id| ModelEntry {
                id,
                object: "model",
                owned_by: "crocushold",
            })
            .collect(),
    };
    let mut response = Response::new(200);
    response.set_body(serde_json::to_string(&list).expect("strings always serialise"));
    response.insert_header("content-type", "application/json");
    Ok(response)
}
