//! The stand-ins as separate processes: `crocushold-standin platform|engine|service|load`.
//!
//! Standard output starts with the lines `listening=ADDR` and `control=ADDR`, one pair for each
//! engine. Both addresses accept commands as JSON on `POST /control` and return counters on
//! `GET /control/stats`.

use std::error::Error;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use crocushold_standins::Engine;
use crocushold_standins::EngineSettings;
use crocushold_standins::Handle;
use crocushold_standins::Instance;
use crocushold_standins::PlainService;
use crocushold_standins::Platform;
use crocushold_standins::PlatformSettings;
use crocushold_standins::ServiceSettings;
use crocushold_standins::Standin;
use crocushold_standins::load;
use crocushold_standins::load::LoadPlan;
use serde::de::DeserializeOwned;

use crate::cli::Command;
use crate::cli::PartFile;

mod cli;

type CliResult<T> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let command = cli::command().run();
    match task::block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> CliResult<()> {
    match command {
        Command::Platform {
            listen,
            part,
            instances,
            budget,
        } => {
            let settings = platform_settings(part, instances, budget)?;
            serve(vec![Platform::start(listen, settings).await?]).await
        }
        Command::Engine {
            listen,
            count,
            settings,
            model,
        } => {
            let mut settings: EngineSettings = read_settings(settings)?;
            if !model.is_empty() {
                settings.models = model;
            }
            serve(start_engines(listen, count, &settings).await?).await
        }
        Command::Service { listen, settings } => {
            let settings: ServiceSettings = read_settings(settings)?;
            serve(vec![PlainService::start(listen, settings).await?]).await
        }
        Command::Load {
            entry,
            standin,
            plan,
        } => print_load(entry, standin, plan).await,
    }
}

fn platform_settings(
    parts: Vec<PartFile>,
    instances: Option<PathBuf>,
    budget: u64,
) -> CliResult<PlatformSettings> {
    let mut settings = PlatformSettings {
        read_budget: budget,
        instances: read_instances(instances)?,
        ..PlatformSettings::default()
    };
    for PartFile { team, file } in parts {
        settings.parts.insert(team, fs::read_to_string(file)?);
    }
    Ok(settings)
}

/// Runs the load plan in `file` and prints the report.
async fn print_load(
    entries: Vec<SocketAddr>,
    standins: Vec<SocketAddr>,
    file: PathBuf,
) -> CliResult<()> {
    let mut plan: LoadPlan = serde_json::from_slice(&fs::read(file)?)?;
    if !entries.is_empty() {
        plan.entries = entries;
    }
    if !standins.is_empty() {
        plan.standins = standins;
    }
    let report = load::run(plan).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

/// Starts `count` engines: the first on `listen`, the others on free ports of the same IP address.
async fn start_engines(
    listen: SocketAddr,
    count: usize,
    settings: &EngineSettings,
) -> CliResult<Vec<Handle<Engine>>> {
    let any = SocketAddr::new(listen.ip(), 0);
    let mut engines = Vec::new();
    for number in 0..count {
        let addr = if number == 0 { listen } else { any };
        let settings = EngineSettings {
            seed: settings.seed.wrapping_add(number as u64),
            ..settings.clone()
        };
        engines.push(Engine::start(addr, settings).await?);
    }
    Ok(engines)
}

/// Prints the addresses and serves until the process is terminated.
async fn serve<S: Standin>(handles: Vec<Handle<S>>) -> CliResult<()> {
    let mut out = std::io::stdout();
    for handle in &handles {
        writeln!(out, "listening={}", handle.addr())?;
        writeln!(out, "control={}", handle.control_addr())?;
    }
    out.flush()?;
    std::future::pending().await
}

fn read_settings<T: DeserializeOwned + Default>(json: Option<String>) -> CliResult<T> {
    match json {
        Some(json) => Ok(serde_json::from_str(&json)?),
        None => Ok(T::default()),
    }
}

fn read_instances(file: Option<PathBuf>) -> CliResult<Vec<Instance>> {
    match file {
        Some(file) => Ok(serde_json::from_slice(&fs::read(file)?)?),
        None => Ok(Vec::new()),
    }
}
