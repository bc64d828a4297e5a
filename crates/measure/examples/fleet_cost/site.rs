//! The processes of one measurement: platform, engines, entry instances.

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

/// Zones that the instances are spread over.
const ZONES: usize = 23;

/// Ports of peers; several measurements at once begin at different ones.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
const PORT_STEP: u16 = 100;
const PORT_STEPS: u32 = 100;

/// Tries until an instance must be ready, a pause apart.
const READY_TRIES: usize = 300;
const READY_PAUSE: Duration = Duration::from_millis(100);

/// What is measured.
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
    /// Reads the command line: options, and the numbers of instances.
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

/// Calls of a plain service that may run once.
pub(crate) struct Calls {
    /// Calls a second.
    pub(crate) rate: usize,
    /// How long.
    pub(crate) span: Duration,
    /// Whether each carries an idempotency key of its own.
    pub(crate) keyed: bool,
    /// Accounts that send them, in turn.
    pub(crate) accounts: usize,
    /// Instances that they go to, in turn.
    pub(crate) to: usize,
}

/// A platform, engines and instances that have joined.
pub(crate) struct Site {
    instances: Vec<Process>,
    listens: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    platform: SocketAddr,
    control: SocketAddr,
    text: String,
    folder: PathBuf,
    _others: Vec<Process>,
}

impl Site {
    /// Starts all and waits until each instance is ready.
    pub(crate) fn start(count: usize, options: &Options) -> MeasureResult<Site> {
        let name = format!("crocushold-fleet-cost-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let (engine, engines) = start_engines(options.servers)?;
        let mut text = text(&engines, options);
        let mut others: Vec<Process> = engine.into_iter().collect();
        if options.claims + options.loans > 0 {
            let mut service = Process::start("crocushold-standin", &["service".to_owned()])?;
            text += &plain_text(service.read_address("listening")?);
            others.push(service);
        }
        let peers = free_addresses(count)?;
        let list = instance_list(&peers, &engines, options.listed);
        let list = write(&folder, "instances.json", &serde_json::to_string(&list)?)?;
        let part = write(&folder, "part.ini", &text)?;
        let args = [
            "platform".to_owned(),
            "--part".to_owned(),
            format!("{TEAM}={part}"),
            "--instances".to_owned(),
            list,
        ];
        let mut platform = Process::start("crocushold-standin", &args)?;
        let mut site = Site {
            instances: Vec::new(),
            listens: Vec::new(),
            operators: Vec::new(),
            peers,
            engines,
            platform: platform.read_address("listening")?,
            control: platform.read_address("control")?,
            text,
            folder,
            _others: others,
        };
        site._others.push(platform);
        site.start_instances()?;
        Ok(site)
    }

    fn start_instances(&mut self) -> MeasureResult<()> {
        for (number, peer) in self.peers.iter().enumerate() {
            let text = settings(number, *peer, self.platform);
            let file = write(&self.folder, &format!("entry-{number}.ini"), &text)?;
            let args = ["serve", "--log", "error", &file].map(str::to_owned);
            let mut instance = Process::start("crocushold", &args)?;
            self.listens.push(instance.read_address("listening")?);
            self.operators.push(instance.read_address("operator")?);
            self.instances.push(instance);
        }
        let via = HttpFetch::default();
        for &operator in &self.operators {
            task::block_on(ready(&via, operator))?;
        }
        Ok(())
    }

    /// Prints the size of the documents that an operator reads of the first instance.
    pub(crate) fn print_documents(&self) -> MeasureResult<()> {
        let via = HttpFetch::default();
        let operator = self.operators[0].to_string();
        for path in ["/status", "/metrics"] {
            let text = task::block_on(fetch(&via, &operator, path))?;
            println!("{path}: {} bytes", text.len());
        }
        Ok(())
    }

    /// Publishes the text with one line that differs from the last.
    pub(crate) fn publish(&self, change: usize) -> MeasureResult<()> {
        let command = PlatformCommand::Part {
            team: TEAM.to_owned(),
            text: format!("{}# change {change}\n", self.text),
        };
        let url = Url::parse(&format!("http://{}/control", self.control))?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(serde_json::to_vec(&command)?);
        let client = Client::new(PoolLimits::default());
        let limits = SendLimits::default();
        let sent = client.send(self.control, request, &limits, Reuse::Fresh);
        let answer = task::block_on(sent).map_err(|error| error.to_string())?;
        if !answer.status.is_success() {
            return Err(format!("publishing: {}", answer.status).into());
        }
        Ok(())
    }

    /// Sends calls that may run once, and prints how many were answered with success.
    pub(crate) fn call(&self, calls: &Calls) -> MeasureResult<()> {
        let client = Client::new(PoolLimits::default());
        let gap = Duration::from_secs(1) / calls.rate as u32;
        let began = Instant::now();
        let mut number = 0;
        let mut served = 0;
        while began.elapsed() < calls.span {
            let to = self.listens[number % calls.to];
            let request = confirmation(to, number, calls)?;
            let limits = SendLimits::default();
            let sent = client.send(to, request, &limits, Reuse::Fresh);
            let answer = task::block_on(sent).map_err(|error| error.to_string())?;
            served += usize::from(answer.status.is_success());
            number += 1;
            let due = gap * number as u32;
            thread::sleep(due.saturating_sub(began.elapsed()));
        }
        println!("calls: {number}, served: {served}");
        Ok(())
    }

    /// The instances' process numbers.
    pub(crate) fn ids(&self) -> Vec<u32> {
        self.instances.iter().map(Process::pid).collect()
    }

    /// Where everything listens.
    pub(crate) fn ports(&self) -> Ports {
        Ports {
            peers: self.peers.iter().map(SocketAddr::port).collect(),
            platform: self.platform.port(),
            servers: self.engines.iter().map(SocketAddr::port).collect(),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Only settings stand there.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn confirmation(to: SocketAddr, number: usize, calls: &Calls) -> MeasureResult<Request> {
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

/// A plain service with one call that may run once.
fn plain_text(service: SocketAddr) -> String {
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

async fn ready(via: &HttpFetch, operator: SocketAddr) -> MeasureResult<()> {
    for _ in 0..READY_TRIES {
        if fetch(via, &operator.to_string(), "/ready").await.is_ok() {
            return Ok(());
        }
        task::sleep(READY_PAUSE).await;
    }
    Err("an instance did not become ready".into())
}

fn text(engines: &[SocketAddr], options: &Options) -> String {
    let classes = if options.claims + options.loans > 0 {
        "chat, confirm"
    } else {
        "chat"
    };
    let mut text = format!(
        "[team {TEAM}]\nformat = 1\n\n[service fleet]\nkind = model\nconcurrency = 16\n\n\
         [model fleet/clara-8b]\nweights = 16 GB\nservers = {}\n\n\
         [class chat]\nservice = fleet\npriority = 1\nfirst-token = 350 ms\n\
         between-tokens = 80 ms\nfloor = 5 %\nidempotent = yes\n\n",
        engines.len().max(1)
    );
    let mut line = |args: std::fmt::Arguments<'_>| {
        text.write_fmt(args)
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
    text
}

fn settings(number: usize, peer: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "[instance]\nid = entry-{number}\nzone = zone-{}\nlisten = 127.0.0.1:0\n\
         operator = 127.0.0.1:0\n\n[platform]\naddresses = {platform}\n\n\
         [peers]\nlisten = {peer}\nkey = {PEER_KEY}\nfirst-start = yes\n",
        number % ZONES
    )
}

fn instance_list(peers: &[SocketAddr], engines: &[SocketAddr], more: usize) -> Vec<Instance> {
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
    let more = (0..more).map(|number| {
        let address = format!("10.0.{}.{}:8000", number / 250, number % 250 + 1);
        server(100_000 + number, address)
    });
    let peers = peers.iter().enumerate().map(entry);
    peers.chain(engines).chain(more).collect()
}

fn write(folder: &Path, name: &str, text: &str) -> MeasureResult<String> {
    let file = folder.join(name);
    fs::write(&file, text)?;
    Ok(file.display().to_string())
}

/// Addresses whose ports were free a moment ago.
///
/// They lie below the range that the kernel gives to connections: with many instances the first
/// ones' connections took the ports of those that hadn't started yet.
fn free_addresses(count: usize) -> MeasureResult<Vec<SocketAddr>> {
    let first = FIRST_PORT + (std::process::id() % PORT_STEPS) as u16 * PORT_STEP;
    let addresses = (first..LAST_PORT).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = addresses.filter(|&address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    if free.len() < count {
        return Err("too few free ports".into());
    }
    Ok(free)
}
