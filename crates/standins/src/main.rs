//! The stand-ins as separate processes: `crocushold-standin platform|engine|service|load`.
//!
//! The first line on standard output is `listening=ADDR`, the second `control=ADDR`; both addresses
//! take commands as JSON on `POST /control` and show counters on `GET /control/stats`.

use std::error::Error;
use std::fs;
use std::io::Write;
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

type Outcome<T> = Result<T, Box<dyn Error>>;

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

async fn run(command: Command) -> Outcome<()> {
    match command {
        Command::Platform {
            listen,
            part,
            instances,
            budget,
        } => {
            let mut settings = PlatformSettings {
                read_budget: budget,
                instances: read_instances(instances)?,
                ..PlatformSettings::default()
            };
            for PartFile { team, file } in part {
                settings.parts.insert(team, fs::read_to_string(file)?);
            }
            serve(Platform::start(listen, settings).await?).await
        }
        Command::Engine {
            listen,
            settings,
            model,
        } => {
            let mut settings: EngineSettings = read_settings(settings)?;
            if !model.is_empty() {
                settings.models = model;
            }
            serve(Engine::start(listen, settings).await?).await
        }
        Command::Service { listen, settings } => {
            let settings: ServiceSettings = read_settings(settings)?;
            serve(PlainService::start(listen, settings).await?).await
        }
        Command::Load {
            entry,
            standin,
            plan,
        } => {
            let mut plan: LoadPlan = serde_json::from_slice(&fs::read(plan)?)?;
            if !entry.is_empty() {
                plan.entries = entry;
            }
            if !standin.is_empty() {
                plan.standins = standin;
            }
            let report = load::run(plan).await?;
            println!("{}", serde_json::to_string_pretty(&report)?);
            Ok(())
        }
    }
}

/// Prints the addresses and serves until the process is ended.
async fn serve<S: Standin>(handle: Handle<S>) -> Outcome<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening={}", handle.addr())?;
    writeln!(out, "control={}", handle.control_addr())?;
    out.flush()?;
    std::future::pending().await
}

fn read_settings<T: DeserializeOwned + Default>(json: Option<String>) -> Outcome<T> {
    match json {
        Some(json) => Ok(serde_json::from_str(&json)?),
        None => Ok(T::default()),
    }
}

fn read_instances(file: Option<PathBuf>) -> Outcome<Vec<Instance>> {
    match file {
        Some(file) => Ok(serde_json::from_slice(&fs::read(file)?)?),
        None => Ok(Vec::new()),
    }
}
