//! `crocushold-measure policy|relay`: runs a measurement and writes its report.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use crocushold_measure::MeasureResult;
use crocushold_measure::policy;
use crocushold_measure::policy::Selection;
use crocushold_measure::proxy;
use crocushold_measure::relay;

#[derive(Clone, Debug)]
enum Command {
    Policy {
        selection: Selection,
        out_dir: PathBuf,
    },
    Relay {
        out_dir: PathBuf,
    },
    Proxy {
        concurrency: u32,
        server: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let command = parser().run();
    match task::block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> MeasureResult<()> {
    match command {
        Command::Policy { selection, out_dir } => policy::run(&selection, &out_dir).await,
        Command::Relay { out_dir } => relay::run(&out_dir).await,
        Command::Proxy {
            concurrency,
            server,
        } => proxy::run(&server, concurrency).await,
    }
}

fn parser() -> OptionParser<Command> {
    let policy = policy_command();
    let relay = relay_command();
    let proxy = proxy_command();
    construct!([policy, relay, proxy])
        .to_options()
        .descr("Measurements of crocushold against baselines in the same run")
}

fn policy_command() -> impl Parser<Command> {
    let quick = long("quick")
        .help("Only the first shape, 0.7 and 2.5 times capacity, without faults")
        .switch();
    let scenarios = long("shape")
        .help("Only this shape")
        .argument::<String>("NAME")
        .many();
    let levels = long("level")
        .help("Only this multiple of the capacity")
        .argument::<f64>("LEVEL")
        .many();
    let faults = long("fault")
        .help("Only this fault: none, flood, straggler, crash or burst")
        .argument::<String>("FAULT")
        .many();
    let repetitions = long("repeat")
        .help("How often each point is run, each time with another seed")
        .argument::<u64>("N")
        .fallback(1);
    let selection = construct!(Selection {
        quick,
        scenarios,
        levels,
        faults,
        repetitions,
    });
    let out_dir = out_dir();
    construct!(Command::Policy { selection, out_dir })
        .to_options()
        .descr("Attainment, goodput and wasted work by class, under load and faults")
        .command("policy")
}

fn relay_command() -> impl Parser<Command> {
    let out_dir = out_dir();
    construct!(Command::Relay { out_dir })
        .to_options()
        .descr("What an entry instance adds to a request")
        .command("relay")
}

fn proxy_command() -> impl Parser<Command> {
    let concurrency = long("concurrency")
        .help("Requests that each server runs at once")
        .argument::<u32>("N");
    let server = long("server")
        .help("Address of a server")
        .argument::<SocketAddr>("ADDR")
        .many();
    construct!(Command::Proxy {
        concurrency,
        server,
    })
    .to_options()
    .descr("The baseline: round robin, first come first served, no classes")
    .command("proxy")
}

fn out_dir() -> impl Parser<PathBuf> {
    long("out")
        .help("Folder that the page and the plot are written to")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("docs/measurements"))
}
