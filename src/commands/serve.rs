//! `crocushold serve`: runs an entry instance.

use std::net::SocketAddr;
use std::process::ExitCode;

use async_std::channel::Receiver;
use async_std::channel::bounded;
use async_std::task;
use bpaf::Parser;
use bpaf::long;
use crocushold_base::Event;
use crocushold_entry::Instance;
use crocushold_entry::Options;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use log::error;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// The arguments of `serve`.
#[derive(Clone, Debug)]
pub struct Args {
    options: Options,
    log: String,
}

/// The parser of `serve`.
pub fn args() -> impl Parser<Args> {
    let instance = long("instance")
        .help("The instance's name in the platform's list")
        .argument::<String>("NAME")
        .fallback("entry".to_owned());
    let zone = long("zone")
        .help("The availability zone")
        .argument::<String>("ZONE")
        .fallback(String::new());
    let listen = long("listen")
        .help("Where callers connect")
        .argument::<SocketAddr>("ADDR");
    let operator = long("operator")
        .help("Where the operator connects")
        .argument::<SocketAddr>("ADDR");
    let platform = long("platform")
        .help("The platform's address")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let log = long("log")
        .help("Log levels, such as \"info\" or \"warn, crocushold_entry=debug\"")
        .argument::<String>("LEVELS")
        .fallback("info".to_owned());
    bpaf::construct!(Fields {
        instance,
        zone,
        listen,
        operator,
        platform,
        log
    })
    .map(Args::from)
    .to_options()
    .descr("Runs an entry instance")
    .command("serve")
}

struct Fields {
    instance: String,
    zone: String,
    listen: SocketAddr,
    operator: SocketAddr,
    platform: Option<SocketAddr>,
    log: String,
}

impl From<Fields> for Args {
    fn from(fields: Fields) -> Args {
        Args {
            options: Options {
                instance: fields.instance,
                zone: fields.zone,
                listen: fields.listen,
                operator: fields.operator,
                platform: fields.platform,
                ..Options::default()
            },
            log: fields.log,
        }
    }
}

/// Runs an instance until a signal asks for a graceful stop.
pub fn run(args: Args) -> ExitCode {
    let _logger = match start_log(&args.log) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("error: --log: {error}");
            return ExitCode::from(2);
        }
    };
    match serve(args.options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!("{}", Event::new("start-failed").with("cause", cause));
            ExitCode::FAILURE
        }
    }
}

fn serve(options: Options) -> Result<(), Box<dyn std::error::Error>> {
    let stop = stop_signals()?;
    task::block_on(async {
        let instance = Instance::start(options).await?;
        println!("listening={}", instance.listen);
        println!("operator={}", instance.operator);
        // The channel closes only with the signal thread, which lives as long as the process.
        let _ = stop.recv().await;
        let open = instance.stop().await;
        info!("{}", Event::new("stopped").with("cut", open));
        Ok(())
    })
}

/// A message for each signal that asks for a stop.
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
        .format(line)
        .start()
}

/// Writes one record as one line of pairs.
fn line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%z");
    let level = record.level().as_str().to_lowercase();
    let module = record.module_path().unwrap_or("-");
    write!(
        out,
        "time={time} level={level} module={module} {}",
        record.args()
    )
}
