//! A site: stand-ins for the platform, engines and a plain service, and their configuration.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use async_std::task;
use crocushold_config::KeyDigest;
use crocushold_standins::Engine;
use crocushold_standins::EngineCommand;
use crocushold_standins::EngineSettings;
use crocushold_standins::Handle;
use crocushold_standins::PlainService;
use crocushold_standins::Platform;
use crocushold_standins::PlatformCommand;
use crocushold_standins::PlatformSettings;
use crocushold_standins::ServiceCommand;
use crocushold_standins::ServiceSettings;

use super::any_address;
use super::caller::Call;
use super::caller::call;
use super::entry::Entry;
use super::temp_dir::TempDir;
use super::wait::wait;

const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// The layout of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    pub engines: usize,
    pub services: usize,
    pub concurrency: u32,
    pub engine: EngineSettings,
    pub service: ServiceSettings,
    pub first_start: bool,
    /// Memory limit of the requests at an entry instance, in MiB.
    pub memory: u64,
    /// Longest wait for a whole body, in seconds.
    pub body_timeout: u32,
    /// Further lines of the `[limits]` section of the entry instances.
    pub limits: String,
    pub senders: u32,
}

impl Default for SiteSettings {
    fn default() -> SiteSettings {
        SiteSettings {
            engines: 2,
            services: 1,
            concurrency: 8,
            engine: EngineSettings {
                models: vec!["m".to_owned()],
                ..EngineSettings::default()
            },
            service: ServiceSettings::default(),
            first_start: true,
            memory: 192,
            body_timeout: 2,
            limits: String::new(),
            senders: 8,
        }
    }
}

/// The running stand-ins.
pub struct Site {
    pub platform: Handle<Platform>,
    pub engines: Vec<Handle<Engine>>,
    pub service: Handle<PlainService>,
    /// Further servers of the plain service.
    pub other_services: Vec<Handle<PlainService>>,
    pub text: String,
    temp_dir: TempDir,
    first_start: bool,
    memory: u64,
    body_timeout: u32,
    limits: String,
    senders: u32,
}

impl Site {
    /// Starts the stand-ins and publishes a configuration that lists them.
    pub fn start(settings: &SiteSettings) -> Site {
        task::block_on(async {
            let mut engines = Vec::new();
            for _ in 0..settings.engines {
                let engine = Engine::start(any_address(), settings.engine.clone()).await;
                engines.push(engine.unwrap());
            }
            let service = PlainService::start(any_address(), settings.service.clone());
            let service = service.await.unwrap();
            let mut other_services = Vec::new();
            for _ in 1..settings.services {
                let another = PlainService::start(any_address(), settings.service.clone());
                other_services.push(another.await.unwrap());
            }
            let services: Vec<_> = [&service].into_iter().chain(&other_services).collect();
            let text = text(settings, &engines, &services);
            let platform = PlatformSettings {
                parts: BTreeMap::from([("team".to_owned(), text.clone())]),
                ..PlatformSettings::default()
            };
            let platform = Platform::start(any_address(), platform).await.unwrap();
            Site {
                platform,
                engines,
                service,
                other_services,
                text,
                temp_dir: TempDir::new(),
                first_start: settings.first_start,
                memory: settings.memory,
                body_timeout: settings.body_timeout,
                limits: settings.limits.clone(),
                senders: settings.senders,
            }
        })
    }

    /// Starts an entry instance and waits until it is ready.
    pub fn entry(&self, name: &str) -> Entry {
        let entry = Entry::start(&self.args(name));
        entry.wait_ready();
        entry
    }

    /// Sends a command to one engine.
    pub fn command_engine(&self, number: usize, command: EngineCommand) {
        task::block_on(self.engines[number].command(command)).unwrap();
    }

    /// Sends a command to all engines.
    pub fn command_all_engines(&self, command: &EngineCommand) {
        for number in 0..self.engines.len() {
            self.command_engine(number, command.clone());
        }
    }

    /// Sends a command to all servers of the plain service.
    pub fn command_services(&self, command: ServiceCommand) {
        for service in [&self.service].into_iter().chain(&self.other_services) {
            task::block_on(service.command(command)).unwrap();
        }
    }

    /// Returns how often a marked call took effect, over all servers of the plain service.
    pub fn effects(&self, marker: &str) -> u64 {
        let services = [&self.service].into_iter().chain(&self.other_services);
        services.map(|service| service.effects(marker)).sum()
    }

    /// Returns the number of calls received by all servers of the plain service.
    pub fn booking_calls(&self) -> u64 {
        let services = [&self.service].into_iter().chain(&self.other_services);
        services.map(|service| service.stats().calls).sum()
    }

    /// Returns how often a marked request ran, over all engines.
    pub fn runs(&self, marker: &str) -> u64 {
        self.engines.iter().map(|engine| engine.runs(marker)).sum()
    }

    /// Returns the number of requests running or waiting at the engines.
    pub fn held(&self) -> u64 {
        let stats = self.engines.iter().map(|engine| engine.stats());
        stats.map(|stats| stats.running + stats.waiting).sum()
    }

    /// Returns how often a marked request was cancelled at the engines.
    pub fn cancelled(&self, marker: &str) -> usize {
        let stats = self.engines.iter().map(|engine| engine.stats());
        let cancellations = stats.flat_map(|stats| stats.cancellations);
        cancellations.filter(|c| c.marker == marker).count()
    }

    /// Waits until an engine runs a marked request, and returns the engine's index.
    pub fn runner(&self, marker: &str) -> usize {
        let mut found = None;
        wait("an engine runs the request", || {
            found = self.engines.iter().position(|e| e.runs(marker) == 1);
            found.is_some()
        });
        found.unwrap()
    }

    /// Clears the engines' faults, and waits until all slots are released and requests are served
    /// again.
    pub fn assert_recovers(&self, entry: &Entry) {
        entry.wait_idle();
        self.command_all_engines(&EngineCommand::Clear);
        wait("a request is served again", || {
            let answer = call(entry.listen, &Call::chat(true, 2));
            answer.is_some_and(|answer| answer.status == 200 && answer.whole)
        });
    }

    /// Returns the command-line arguments of an entry instance at this site.
    pub fn args(&self, name: &str) -> Vec<String> {
        self.args_at(name, any_address())
    }

    /// Returns the arguments of an entry instance whose peer address is `peer`.
    pub fn args_at(&self, name: &str, peer: SocketAddr) -> Vec<String> {
        let file = self.settings_file(name, peer);
        vec![file.to_string_lossy().into_owned()]
    }

    fn settings_file(&self, name: &str, peer: SocketAddr) -> PathBuf {
        let any = any_address();
        let platform = self.platform.addr();
        let first = if self.first_start { "yes" } else { "no" };
        let (memory, limits, senders) = (self.memory, &self.limits, self.senders);
        let body_timeout = self.body_timeout;
        let text = format!(
            "[instance]\nid = {name}\nzone = zone-a\nlisten = {any}\noperator = {any}\n\
             notice = 300 ms\ndrain = 20 s\nmemory = {memory} MiB\n\n[platform]\naddresses = {platform}\n\n\
             [peers]\nlisten = {peer}\nkey = {PEER_KEY}\nfirst-start = {first}\n\
             senders = {senders}\n\n\
             [limits]\nbody-timeout = {body_timeout} s\nwrite-timeout = 5 s\n{limits}"
        );
        let file = self.temp_dir.path().join(format!("{name}.ini"));
        fs::write(&file, text).unwrap();
        file
    }

    /// Publishes the configuration as changed by `edit`.
    pub fn publish(&self, edit: impl Fn(&str) -> String) {
        let command = PlatformCommand::Part {
            team: "team".to_owned(),
            text: edit(&self.text),
        };
        task::block_on(self.platform.command(command)).unwrap();
    }

    /// Sends a command to the platform.
    pub fn command_platform(&self, command: PlatformCommand) {
        task::block_on(self.platform.command(command)).unwrap();
    }
}

const CLASSES: &str = "
[class chat]
service = fleet
priority = 1
first-token = 350 ms
between-tokens = 80 ms
floor = 30 %
idempotent = yes

[class batch]
service = fleet
priority = 5
whole-answer = 20 min
floor = 5 %
idempotent = yes
queue = 5000

[class lookup]
service = booking
priority = 1
whole-answer = 2 s
idempotent = yes
calls = GET /booking/slots

[class confirm]
service = booking
priority = 1
whole-answer = 2 s
idempotent = no
calls = POST /booking/confirmations
";

fn text(
    settings: &SiteSettings,
    engines: &[Handle<Engine>],
    services: &[&Handle<PlainService>],
) -> String {
    let mut out = String::from("[team team]\nformat = 1\n");
    let concurrency = settings.concurrency;
    write!(
        out,
        "\n[service fleet]\nkind = model\nconcurrency = {concurrency}\n"
    )
    .unwrap();
    let count = engines.len();
    write!(
        out,
        "\n[model fleet/m]\nweights = 16 GB\nservers = {count}\n"
    )
    .unwrap();
    for (number, engine) in engines.iter().enumerate() {
        let address = engine.addr();
        write!(
            out,
            "\n[server fleet/runner-{number}]\naddress = {address}\nzone = zone-a\n"
        )
        .unwrap();
    }
    write!(
        out,
        "\n[service booking]\nkind = plain\nprefix = /booking\n"
    )
    .unwrap();
    for (number, service) in services.iter().enumerate() {
        let address = service.addr();
        write!(
            out,
            "\n[server booking/booking-{number}]\naddress = {address}\nzone = zone-a\n"
        )
        .unwrap();
    }
    out.push_str(CLASSES);
    out.push_str(&account("chat", "chat, lookup, confirm"));
    out.push_str(&account("batch", "batch"));
    out
}

fn account(name: &str, classes: &str) -> String {
    let digest = KeyDigest::of(&format!("team.{name}"));
    format!(
        "\n[account {name}]\nkey-sha256 = {digest}\nclasses = {classes}\n\
         requests = 10000/s\ntokens = 1000000/s\nconcurrency = 1000\n"
    )
}
