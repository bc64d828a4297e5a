//! `crocushold-measure policy|relay`: runs a measurement and writes its page.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use crocushold_measure::Outcome;
use crocushold_measure::policy;
use crocushold_measure::policy::Select;
use crocushold_measure::proxy;
use crocushold_measure::relay;

#[derive(Clone, Debug)]
enum Command {
    Policy {
        select: Select,
        out: PathBuf,
    },
    Relay {
        out: PathBuf,
    },
    Proxy {
        concurrency: u32,
        server: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let command = command().run();
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
        Command::Policy { select, out } => policy::run(&select, &out).await,
        Command::Relay { out } => relay::run(&out).await,
        Command::Proxy {
            concurrency,
            server,
        } => proxy::run(&server, concurrency).await,
    }
}

fn command() -> OptionParser<Command> {
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
    let shape = long("shape")
        .help("Only this shape")
        .argument::<String>("NAME")
        .many();
    let level = long("level")
        .help("Only this multiple of the capacity")
        .argument::<f64>("LEVEL")
        .many();
    let fault = long("fault")
        .help("Only this fault: none, flood, straggler, crash or burst")
        .argument::<String>("FAULT")
        .many();
    let repeat = long("repeat")
        .help("How often each point is run, each time with another seed")
        .argument::<u64>("N")
        .fallback(1);
    let select = construct!(Select {
        quick,
        shape,
        level,
        fault,
        repeat,
    });
    let out = out();
    construct!(Command::Policy { select, out })
        .to_options()
        .descr("Attainment, goodput and wasted work by class, under load and faults")
        .command("policy")
}

fn relay_command() -> impl Parser<Command> {
    let out = out();
    construct!(Command::Relay { out })
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

fn out() -> impl Parser<PathBuf> {
    long("out")
        .help("Folder that the page and the plot are written to")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("docs/measurements"))
}
