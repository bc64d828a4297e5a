//! Starts and drives the processes of one measurement: platform, engines and entry instances.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_config::Credential;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_measure::MeasureResult;
use crocushold_measure::process::Process;
use crocushold_platform::HttpFetch;
use crocushold_platform::fetch;
use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::PlatformCommand;
use crocushold_standins::Role;
use http_types::Method;
use http_types::Request;
use http_types::Url;

use crate::sockets::Ports;

const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

const TEAM: &str = "clara";

/// Number of availability zones of the instances.
const ZONES: usize = 23;

/// Range of the peer ports. The first one depends on the process ID, so that measurements that run
/// at the same time start at different blocks of ports.
const FIRST_PEER_PORT: u16 = 20_000;
const LAST_PEER_PORT: u16 = 32_000;
const PORT_BLOCK: u16 = 100;
const PORT_BLOCKS: u32 = 100;

/// Attempts of the readiness check of an instance, and the time between them.
const READY_ATTEMPTS: usize = 300;
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Command-line options; see the table of the main module.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) servers: usize,
    pub(crate) listed: usize,
    pub(crate) accounts: usize,
    pub(crate) changes: usize,
    pub(crate) claims: usize,
    pub(crate) loans: usize,
    pub(crate) span: Duration,
}

impl Options {
    /// Parses the command line into options and the cluster sizes to measure.
    pub(crate) fn read(
        mut args: impl Iterator<Item = String>,
    ) -> MeasureResult<(Options, Vec<usize>)> {
        let mut options = Options {
            servers: 0,
            listed: 0,
            accounts: 10,
            changes: 0,
            claims: 0,
            loans: 0,
            span: Duration::from_secs(30),
        };
        let mut counts = Vec::new();
        while let Some(arg) = args.next() {
            let Some(name) = arg.strip_prefix("--") else {
                counts.push(arg.parse()?);
                continue;
            };
            let value: usize = args.next().ok_or("an option without a value")?.parse()?;
            match name {
                "servers" => options.servers = value,
                "listed" => options.listed = value,
                "accounts" => options.accounts = value,
                "changes" => options.changes = value,
                "claims" => options.claims = value,
                "loans" => options.loans = value,
                "seconds" => options.span = Duration::from_secs(value as u64),
                _ => return Err(format!("unknown option --{name}").into()),
            }
        }
        Ok((options, counts))
    }
}

/// Load of non-idempotent calls to the plain service.
pub(crate) struct CallLoad {
    /// Calls per second.
    pub(crate) rate: usize,
    /// Duration of the load.
    pub(crate) duration: Duration,
    /// Whether each call carries a unique idempotency key.
    pub(crate) keyed: bool,
    /// Number of accounts that send the calls, round robin.
    pub(crate) accounts: usize,
    /// Number of instances that receive the calls, round robin.
    pub(crate) target_instances: usize,
}

/// A running platform, engines and entry instances.
pub(crate) struct Cluster {
    instances: Vec<Process>,
    listens: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    platform: SocketAddr,
    platform_control: SocketAddr,
    config_text: String,
    folder: PathBuf,
    _other_processes: Vec<Process>,
}

impl Cluster {
    /// Starts all processes, and waits until each instance is ready.
    pub(crate) fn start(count: usize, options: &Options) -> MeasureResult<Cluster> {
        let name = format!("crocushold-fleet-cost-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let (engine, engines) = start_engines(options.servers)?;
        let mut config_text = config_text(&engines, options);
        let mut other_processes: Vec<Process> = engine.into_iter().collect();
        if options.claims + options.loans > 0 {
            let mut service = Process::start("crocushold-standin", &["service".to_owned()])?;
            config_text += &plain_service_text(service.read_address("listening")?);
            other_processes.push(service);
        }
        let peers = free_addresses(count)?;
        let list = instance_list(&peers, &engines, options.listed);
        let list = write_file(&folder, "instances.json", &serde_json::to_string(&list)?)?;
        let part = write_file(&folder, "part.ini", &config_text)?;
        let args = [
            "platform".to_owned(),
            "--part".to_owned(),
            format!("{TEAM}={part}"),
            "--instances".to_owned(),
            list,
        ];
        let mut platform = Process::start("crocushold-standin", &args)?;
        let mut cluster = Cluster {
            instances: Vec::new(),
            listens: Vec::new(),
            operators: Vec::new(),
            peers,
            engines,
            platform: platform.read_address("listening")?,
            platform_control: platform.read_address("control")?,
            config_text,
            folder,
            _other_processes: other_processes,
        };
        cluster._other_processes.push(platform);
        cluster.start_instances()?;
        Ok(cluster)
    }

    fn start_instances(&mut self) -> MeasureResult<()> {
        for (number, peer) in self.peers.iter().enumerate() {
            let settings_text = settings(number, *peer, self.platform);
            let file = write_file(&self.folder, &format!("entry-{number}.ini"), &settings_text)?;
            let args = ["serve", "--log", "error", &file].map(str::to_owned);
            let mut instance = Process::start("crocushold", &args)?;
            self.listens.push(instance.read_address("listening")?);
            self.operators.push(instance.read_address("operator")?);
            self.instances.push(instance);
        }
        let via = HttpFetch::default();
        for &operator in &self.operators {
            task::block_on(wait_ready(&via, operator))?;
        }
        Ok(())
    }

    /// Prints the sizes of the first instance's operator documents.
    pub(crate) fn print_documents(&self) -> MeasureResult<()> {
        let via = HttpFetch::default();
        let operator = self.operators[0].to_string();
        for path in ["/status", "/metrics"] {
            let document = task::block_on(fetch(&via, &operator, path))?;
            println!("{path}: {} bytes", document.len());
        }
        Ok(())
    }

    /// Publishes the configuration text with one line that differs from the previous version.
    pub(crate) fn publish(&self, change: usize) -> MeasureResult<()> {
        let command = PlatformCommand::Part {
            team: TEAM.to_owned(),
            text: format!("{}# change {change}\n", self.config_text),
        };
        let url = Url::parse(&format!("http://{}/control", self.platform_control))?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_vec(&command)?);
        let client = Client::new(PoolLimits::default());
        let limits = SendLimits::default();
        let sent = client.send(self.platform_control, request, &limits, Reuse::Fresh);
        let answer = task::block_on(sent).map_err(|error| error.to_string())?;
        if !answer.status.is_success() {
            return Err(format!("publishing: {}", answer.status).into());
        }
        Ok(())
    }

    /// Sends non-idempotent calls one after another, and prints how many succeeded.
    pub(crate) fn send_calls(&self, calls: &CallLoad) -> MeasureResult<()> {
        let client = Client::new(PoolLimits::default());
        let interval = Duration::from_secs(1) / calls.rate as u32;
        let start_time = Instant::now();
        let mut number = 0;
        let mut served = 0;
        while start_time.elapsed() < calls.duration {
            let to = self.listens[number % calls.target_instances];
            let request = confirmation_request(to, number, calls)?;
            let limits = SendLimits::default();
            let sent = client.send(to, request, &limits, Reuse::Fresh);
            let answer = task::block_on(sent).map_err(|error| error.to_string())?;
            served += usize::from(answer.status.is_success());
            number += 1;
            let due = interval * number as u32;
            thread::sleep(due.saturating_sub(start_time.elapsed()));
        }
        println!("calls: {number}, served: {served}");
        Ok(())
    }

    /// Process IDs of the instances.
    pub(crate) fn ids(&self) -> Vec<u32> {
        self.instances.iter().map(Process::pid).collect()
    }

    /// Ports that the cluster's processes listen on.
    pub(crate) fn ports(&self) -> Ports {
        Ports {
            peers: self.peers.iter().map(SocketAddr::port).collect(),
            platform: self.platform.port(),
            servers: self.engines.iter().map(SocketAddr::port).collect(),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The folder holds only generated settings, so an error here is harmless.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn confirmation_request(to: SocketAddr, number: usize, calls: &CallLoad) -> MeasureResult<Request> {
    let url = Url::parse(&format!("http://{to}/booking/confirmations"))?;
    let mut request = Request::new(Method::Post, url);
    let account = number % calls.accounts;
    request.insert_header("authorization", format!("Bearer {TEAM}.account-{account}"));
    if calls.keyed {
        request.insert_header("idempotency-key", format!("confirmation-{number}"));
    }
    request.set_body("{}");
    Ok(request)
}

/// Configuration text of a plain service with one non-idempotent call.
fn plain_service_text(service: SocketAddr) -> String {
    format!(
        "[service booking]\nkind = plain\nprefix = /booking\n\n\
         [server booking/one]\naddress = {service}\nzone = zone-0\n\n\
         [class confirm]\nservice = booking\npriority = 1\nwhole-answer = 1 s\n\
         floor = 5 %\ncalls = POST /booking/confirmations\nidempotent = no\n\n"
    )
}

fn start_engines(count: usize) -> MeasureResult<(Option<Process>, Vec<SocketAddr>)> {
    if count == 0 {
        return Ok((None, Vec::new()));
    }
    let args = ["engine", "--count", &count.to_string()].map(str::to_owned);
    let mut engine = Process::start("crocushold-standin", &args)?;
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(engine.read_address("listening")?);
        engine.read_address("control")?;
    }
    Ok((Some(engine), engines))
}

async fn wait_ready(via: &HttpFetch, operator: SocketAddr) -> MeasureResult<()> {
    for _ in 0..READY_ATTEMPTS {
        if fetch(via, &operator.to_string(), "/ready").await.is_ok() {
            return Ok(());
        }
        task::sleep(READY_INTERVAL).await;
    }
    Err("an instance did not become ready".into())
}

fn config_text(engines: &[SocketAddr], options: &Options) -> String {
    let classes = if options.claims + options.loans > 0 {
        "chat, confirm"
    } else {
        "chat"
    };
    let mut config_text = format!(
        "[team {TEAM}]\nformat = 1\n\n[service fleet]\nkind = model\nconcurrency = 16\n\n\
         [model fleet/clara-8b]\nweights = 16 GB\nservers = {}\n\n\
         [class chat]\nservice = fleet\npriority = 1\nfirst-token = 350 ms\n\
         between-tokens = 80 ms\nfloor = 5 %\nidempotent = yes\n\n",
        engines.len().max(1)
    );
    let mut line = |args: std::fmt::Arguments<'_>| {
        config_text
            .write_fmt(args)
            .expect("writing to a String can't fail");
    };
    for (number, engine) in engines.iter().enumerate() {
        line(format_args!(
            "[server fleet/runner-{number}]\naddress = {engine}\nzone = zone-{}\n\n",
            number % ZONES
        ));
    }
    for number in 0..options.accounts {
        let digest = Credential::of(&format!("{TEAM}.account-{number}")).digest;
        line(format_args!(
            "[account account-{number}]\nkey-sha256 = {digest}\nclasses = {classes}\n\
             requests = 50/s\ntokens = 20000/s\nconcurrency = 64\n\n"
        ));
    }
    config_text
}

fn settings(number: usize, peer: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[instance]\nid = entry-{number}\nzone = zone-{}\nlisten = 127.0.0.1:0\n\
         operator = 127.0.0.1:0\n\n[platform]\naddresses = {platform}\n\n\
         [peers]\nlisten = {peer}\nkey = {PEER_KEY}\nfirst-start = yes\n",
        number % ZONES
    )
}

fn instance_list(
    peers: &[SocketAddr],
    engines: &[SocketAddr],
    extra_servers: usize,
) -> Vec<Instance> {
    let entry = |(number, peer): (usize, &SocketAddr)| Instance {
        id: format!("entry-{number}"),
        role: Role::Entry,
        service: String::new(),
        zone: format!("zone-{}", number % ZONES),
        address: peer.to_string(),
        peer_address: peer.to_string(),
        state: InstanceState::Live,
    };
    let server = |number: usize, address: String| Instance {
        id: format!("runner-{number}"),
        role: Role::Server,
        service: "fleet".to_owned(),
        zone: format!("zone-{}", number % ZONES),
        address,
        peer_address: String::new(),
        state: InstanceState::Live,
    };
    let engines = engines.iter().enumerate();
    let engines = engines.map(|(number, address)| server(number, address.to_string()));
    let extra_servers = (0..extra_servers).map(|number| {
        let address = format!("10.0.{}.{}:8000", number / 250, number % 250 + 1);
        server(100_000 + number, address)
    });
    let peers = peers.iter().enumerate().map(entry);
    peers.chain(engines).chain(extra_servers).collect()
}

fn write_file(folder: &Path, name: &str, text: &str) -> MeasureResult<String> {
    let file = folder.join(name);
    fs::write(&file, text)?;
    Ok(file.display().to_string())
}

/// Returns loopback addresses whose ports are free at the time of the call.
///
/// The ports lie below the kernel's ephemeral range. With many instances, outgoing connections of
/// those already running took ephemeral ports that were meant for instances not yet started.
fn free_addresses(count: usize) -> MeasureResult<Vec<SocketAddr>> {
    let first = FIRST_PEER_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORT_BLOCK;
    let addresses = (first..LAST_PEER_PORT).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = addresses.filter(|&address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    if free.len() < count {
        return Err("too few free ports".into());
    }
    Ok(free)
}
