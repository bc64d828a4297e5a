//! `crocushold serve`: runs an entry instance.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::channel::Receiver;
use async_std::channel::bounded;
use async_std::task;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use crocushold_base::Event;
use crocushold_config::Settings;
use crocushold_entry::Instance;
use crocushold_entry::InstanceHandle;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::error;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use super::log_line;
use super::print;

/// Exit status when the settings are invalid or can't be read.
const BAD_SETTINGS: u8 = 2;

/// The arguments of `serve`.
#[derive(Clone, Debug)]
pub struct Args {
    log: String,
    file: PathBuf,
}

/// The parser of `serve`.
pub fn args() -> impl Parser<Args> {
    let log = long("log")
        .help("Log levels, such as \"info\" or \"warn, crocushold_entry=debug\"")
        .argument::<String>("LEVELS")
        .fallback("info".to_owned())
        .display_fallback();
    let file = positional::<PathBuf>("FILE")
        .help("The instance's settings, an INI file")
        .complete_shell(bpaf::ShellComp::File { mask: None });
    construct!(Args { log, file })
        .to_options()
        .descr("Runs an entry instance")
        .footer("Exit status: 0 stopped gracefully, 1 could not start, 2 bad settings, 64 a usage error")
        .command("serve")
}

/// Runs an instance until a signal requests a graceful shutdown.
pub fn run(args: &Args) -> ExitCode {
    let _logger = match start_log(&args.log) {
        Ok(logger) => logger,
        Err(error) => {
            print::error(format!("error: --log: {error}"));
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let settings = match read_settings(&args.file) {
        Ok(settings) => settings,
        Err(message) => {
            print::error(message);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{}", Event::new("start-failed").with("cause", cause));
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings. The error lists every finding on a line of its own.
fn read_settings(file: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Settings::parse(&text).map_err(|findings| {
        let lines = findings.iter().map(|finding| finding.to_string());
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let stop = stop_signals()?;
    task::block_on(async {
        let instance = Instance::start(settings).await?;
        print_addresses(&instance);
        // The channel closes only with the signal thread, which lives as long as the process.
        let _ = stop.recv().await;
        let cut = instance.stop().await;
        info!("{}", Event::new("stopped").with("cut", cut));
        Ok(())
    })
}

/// Prints the addresses on which the instance listens, for the parent process.
fn print_addresses(instance: &InstanceHandle) {
    let mut out = std::io::stdout();
    // The reader may close the pipe after the first line; that is no reason to stop serving.
    let _ = writeln!(out, "listening={}", instance.listen);
    let _ = writeln!(out, "operator={}", instance.operator);
    let _ = writeln!(out, "peer={}", instance.peer());
}

/// Returns a channel that receives a message for each signal that requests a shutdown.
fn stop_signals() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let (sender, receiver) = bounded(1);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = sender.try_send(());
        }
    });
    Ok(receiver)
}

fn start_log(levels: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_str(levels)?
        .log_to_stderr()
        .format(log_line::write_record)
        .start()
}
