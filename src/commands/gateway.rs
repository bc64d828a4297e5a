//! `crocushold gateway`: runs a gateway on the users' platform.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::channel::bounded;
use async_std::task;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use crocushold_adapter::BootSettings;
use crocushold_adapter::Headers;
use crocushold_adapter::SETTINGS_VARIABLE;
use crocushold_adapter::Store;
use crocushold_adapter::read_settings;
use crocushold_base::Event;
use crocushold_gateway::Gateway;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::error;
use log::info;
use log::warn;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use super::log_line::NonBlockingWriter;
use super::print;

/// Exit status when the settings are invalid or can't be read.
const BAD_SETTINGS: u8 = 2;

/// The arguments of `gateway`.
#[derive(Clone, Debug)]
pub struct Args {
    log: String,
    waiting_line: bool,
    file: Option<PathBuf>,
}

/// The parser of `gateway`.
pub fn args() -> impl Parser<Args> {
    let log = long("log")
        .help("Log levels, such as \"info\" or \"warn, crocushold_gateway=debug\"")
        .argument::<String>("LEVELS")
        .fallback("info".to_owned())
        .display_fallback();
    let waiting_line = long("waiting-line")
        .help("Lets requests for engines wait in one line over all instances, shared between accounts")
        .switch();
    let file = positional::<PathBuf>("FILE")
        .help("The settings file; by default the one that the environment names")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .optional();
    construct!(Args {
        log,
        waiting_line,
        file
    })
    .to_options()
    .descr("Runs a gateway that follows the platform's store")
    .footer(
        "Exit status: 0 stopped gracefully, 1 could not start, 2 bad settings, 64 a usage error",
    )
    .command("gateway")
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalAction {
    Stop,
    Reload,
}

/// Runs a gateway until a signal requests a graceful shutdown.
pub fn run(args: &Args) -> ExitCode {
    // Done first: until the handlers are installed, a signal for a reload or a graceful shutdown
    // kills the process.
    let actions = match signal_actions() {
        Ok(actions) => actions,
        Err(error) => {
            print::error(format!("error: can't wait for signals: {error}"));
            return ExitCode::FAILURE;
        }
    };
    let logger = match start_log(&args.log) {
        Ok(logger) => logger,
        Err(error) => {
            print::error(format!("error: --log: {error}"));
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let file = args.file.clone();
    let file = file.or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(file) = file else {
        print::error(format!(
            "error: no settings file: {SETTINGS_VARIABLE} isn't set"
        ));
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match load(&file) {
        Ok(mut settings) => {
            settings.gateway.waiting_line = args.waiting_line;
            settings
        }
        Err(message) => {
            print::error(message);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let status = match serve(&file, settings, &actions) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{}", Event::new("start-failed").with("cause", cause));
            ExitCode::FAILURE
        }
    };
    logger.flush();
    status
}

/// Reads the settings. The error lists every finding on a line of its own.
fn load(file: &Path) -> Result<BootSettings, String> {
    let path = file.display();
    let text = fs::read_to_string(file).map_err(|error| format!("{path}: {error}"))?;
    read_settings(&text).map_err(|findings| {
        let lines = findings.iter().map(|finding| format!("{path}: {finding}"));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn serve(
    file: &Path,
    mut settings: BootSettings,
    actions: &Receiver<SignalAction>,
) -> Result<(), Box<dyn std::error::Error>> {
    task::block_on(async {
        let store = Store::new(settings.store);
        let gateway = Gateway::start(settings.gateway.clone(), Arc::new(Headers), store).await?;
        // The channel closes only with the signal thread, which lives as long as the process.
        while let Ok(SignalAction::Reload) = actions.recv().await {
            reload(file, &mut settings);
        }
        gateway.stop().await;
        Ok(())
    })
}

/// Reloads the settings. They hold bounds, and addresses, which change only with a restart.
/// Settings that can't be read or are invalid change nothing.
fn reload(file: &Path, settings: &mut BootSettings) {
    match load(file) {
        Ok(mut next) => {
            next.gateway.waiting_line = settings.gateway.waiting_line;
            let changed = next != *settings;
            *settings = next;
            info!(
                "{}",
                Event::new("settings-reloaded").with("changed", changed)
            );
        }
        Err(findings) => {
            let event = Event::new("settings-rejected").with("findings", findings);
            warn!("{event}");
        }
    }
}

/// Returns a channel that receives an action for each signal.
fn signal_actions() -> std::io::Result<Receiver<SignalAction>> {
    let mut signals = Signals::new([SIGINT, SIGTERM, SIGHUP])?;
    let (sender, receiver) = bounded(4);
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let action = if signal == SIGHUP {
                SignalAction::Reload
            } else {
                SignalAction::Stop
            };
            // While the channel is full, further signals stay pending.
            if sender.send_blocking(action).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

fn start_log(levels: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let writer = NonBlockingWriter::start().map_err(FlexiLoggerError::OutputIo)?;
    Logger::try_with_str(levels)?
        .log_to_writer(Box::new(writer))
        .start()
}
