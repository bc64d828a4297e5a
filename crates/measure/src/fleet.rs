//! Starts and configures the processes of one system under test.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use crocushold_standins::BatchSettings;
use crocushold_standins::EngineSettings;
use crocushold_standins::Instance;
use crocushold_standins::InstanceState;
use crocushold_standins::Role;
use rand::RngExt;

use crate::MeasureResult;
use crate::control;
use crate::drive::Endpoints;
use crate::process::Process;
use crate::scenario::ENGINE_CONCURRENCY;
use crate::scenario::Scenario;

/// Range of the peer ports of instances; see [`free_address`].
const PEER_PORTS: Range<u16> = 12_000..30_000;

const PORT_ATTEMPTS: usize = 100;

const PEER_KEY: &str = "0123456789abcdef0123456789abcdef";

/// The system under test between clients and engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum System {
    /// Entry instances.
    Crocushold,
    /// The [proxy](crate::proxy) without request classes.
    Baseline,
    /// None: clients send to the engines round robin.
    Direct,
}

/// Stand-in engines and a plain service.
pub(crate) struct Backends {
    _processes: Vec<Process>,
    /// Addresses of the engines.
    pub(crate) engines: Vec<SocketAddr>,
    /// Control addresses of the engines.
    pub(crate) controls: Vec<SocketAddr>,
    /// Address of the plain service.
    pub(crate) service: SocketAddr,
    /// Control address of the plain service.
    pub(crate) service_control: SocketAddr,
}

/// All processes of one system.
pub(crate) struct Fleet {
    /// Engines and the plain service.
    pub(crate) backends: Backends,
    /// The entry instances, or the proxy.
    pub(crate) instances: Vec<Process>,
    /// Operator addresses of the entry instances.
    pub(crate) operators: Vec<SocketAddr>,
    /// Addresses that clients send to.
    pub(crate) endpoints: Endpoints,
    _platform: Option<Process>,
}

/// Settings of the engines in the policy measurement.
pub(crate) fn engine_settings() -> EngineSettings {
    EngineSettings {
        batch: BatchSettings {
            batch_limit: ENGINE_CONCURRENCY,
            base_ms: 15.0,
            sequence_ms: 0.5,
            ..BatchSettings::default()
        },
        ..EngineSettings::default()
    }
}

impl Backends {
    /// Starts engines and a plain service.
    pub(crate) fn start(count: usize, settings: &EngineSettings) -> MeasureResult<Backends> {
        let args = [
            "engine".to_owned(),
            "--count".to_owned(),
            count.to_string(),
            "--settings".to_owned(),
            serde_json::to_string(settings)?,
        ];
        let mut engine = Process::start("crocushold-standin", &args)?;
        let mut engines = Vec::new();
        let mut controls = Vec::new();
        for _ in 0..count {
            engines.push(engine.read_address("listening")?);
            controls.push(engine.read_address("control")?);
        }
        let mut service = Process::start("crocushold-standin", &["service".to_owned()])?;
        Ok(Backends {
            engines,
            controls,
            service: service.read_address("listening")?,
            service_control: service.read_address("control")?,
            _processes: vec![engine, service],
        })
    }
}

impl Fleet {
    /// Starts a system with its own engines, and waits until its instances are ready.
    pub(crate) async fn start(
        system: System,
        scenario: &Scenario,
        settings: &EngineSettings,
        folder: &Path,
    ) -> MeasureResult<Fleet> {
        let backends = Backends::start(scenario.engines, settings)?;
        let mut fleet = Fleet {
            instances: Vec::new(),
            operators: Vec::new(),
            endpoints: Endpoints {
                model: backends.engines.clone(),
                plain: vec![backends.service],
            },
            backends,
            _platform: None,
        };
        match system {
            System::Direct => {}
            System::Baseline => fleet.start_proxy(scenario)?,
            System::Crocushold => fleet.start_instances(scenario, folder).await?,
        }
        Ok(fleet)
    }

    fn start_proxy(&mut self, scenario: &Scenario) -> MeasureResult<()> {
        let mut args = vec![
            "proxy".to_owned(),
            "--concurrency".to_owned(),
            scenario.concurrency.to_string(),
        ];
        for engine in &self.backends.engines {
            args.push("--server".to_owned());
            args.push(engine.to_string());
        }
        let mut proxy = Process::start("crocushold-measure", &args)?;
        self.endpoints.model = vec![proxy.read_address("listening")?];
        self.instances.push(proxy);
        Ok(())
    }

    async fn start_instances(&mut self, scenario: &Scenario, folder: &Path) -> MeasureResult<()> {
        let text = scenario.config_text(&self.backends.engines, self.backends.service);
        let part = write_file(folder, "part.ini", &text)?;
        let peers: Vec<SocketAddr> = (0..scenario.instances)
            .map(|_| free_address())
            .collect::<MeasureResult<_>>()?;
        let list = serde_json::to_string(&instance_list(scenario, &peers))?;
        let list = write_file(folder, "instances.json", &list)?;
        let args = [
            "platform".to_owned(),
            "--part".to_owned(),
            format!("{}={}", scenario.team, part.display()),
            "--instances".to_owned(),
            list.display().to_string(),
        ];
        let mut platform = Process::start("crocushold-standin", &args)?;
        let address = platform.read_address("listening")?;
        self._platform = Some(platform);
        let mut listens = Vec::new();
        for (number, &peer) in peers.iter().enumerate() {
            let zone = scenario.zones[number % scenario.zones.len()];
            let file = write_settings(folder, number, zone, peer, address)?;
            let args = [
                "serve".to_owned(),
                "--log".to_owned(),
                "warn".to_owned(),
                file,
            ];
            let mut instance = Process::start("crocushold", &args)?;
            listens.push(instance.read_address("listening")?);
            self.operators.push(instance.read_address("operator")?);
            self.instances.push(instance);
        }
        self.endpoints = Endpoints {
            model: listens.clone(),
            plain: listens,
        };
        for &operator in &self.operators {
            control::wait_ready(operator).await?;
        }
        Ok(())
    }
}

fn write_settings(
    folder: &Path,
    number: usize,
    zone: &str,
    peer: SocketAddr,
    platform: SocketAddr,
) -> MeasureResult<String> {
    let text = format!(
        "[instance]\nid = entry-{number}\nzone = {zone}\nlisten = 127.0.0.1:0\n\
         operator = 127.0.0.1:0\nnotice = 300 ms\ndrain = 5 s\n\n\
         [platform]\naddresses = {platform}\n\n[peers]\nlisten = {peer}\nkey = {PEER_KEY}\nfirst-start = yes\n\n\
         [limits]\nconnections = 20000\nconnections-per-account = 20000\n\
         queued-per-account = 20000\n"
    );
    let file = write_file(folder, &format!("entry-{number}.ini"), &text)?;
    Ok(file.display().to_string())
}

fn instance_list(scenario: &Scenario, peers: &[SocketAddr]) -> Vec<Instance> {
    let entry = |(number, peer): (usize, &SocketAddr)| Instance {
        id: format!("entry-{number}"),
        role: Role::Entry,
        service: String::new(),
        zone: scenario.zones[number % scenario.zones.len()].to_owned(),
        address: peer.to_string(),
        peer_address: peer.to_string(),
        state: InstanceState::Live,
    };
    peers.iter().enumerate().map(entry).collect()
}

fn write_file(folder: &Path, name: &str, text: &str) -> MeasureResult<PathBuf> {
    let file = folder.join(name);
    fs::write(&file, text)?;
    Ok(file)
}

/// Returns a loopback address whose port is free at the time of the call.
///
/// The port lies below the ephemeral range: an outgoing connection of another process could take an
/// ephemeral port before the instance listens on it, which would abort the measurement.
fn free_address() -> MeasureResult<SocketAddr> {
    let mut rng = rand::rng();
    for _ in 0..PORT_ATTEMPTS {
        let port = rng.random_range(PEER_PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}
