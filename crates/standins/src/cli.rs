//! Command-line parsing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;

/// A parsed subcommand.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run the configuration service and the instance list.
    Platform {
        listen: SocketAddr,
        part: Vec<PartFile>,
        instances: Option<PathBuf>,
        budget: u64,
    },
    /// Run a model engine.
    Engine {
        listen: SocketAddr,
        count: usize,
        settings: Option<String>,
        model: Vec<String>,
    },
    /// Run a plain service.
    Service {
        listen: SocketAddr,
        settings: Option<String>,
    },
    /// Send the requests of a plan and print the report.
    Load {
        entry: Vec<SocketAddr>,
        standin: Vec<SocketAddr>,
        plan: PathBuf,
    },
}

/// `TEAM=FILE` on the command line.
#[derive(Clone, Debug)]
pub(crate) struct PartFile {
    pub(crate) team: String,
    pub(crate) file: PathBuf,
}

impl FromStr for PartFile {
    type Err = String;

    fn from_str(text: &str) -> Result<PartFile, String> {
        let (team, file) = text.split_once('=').ok_or("write it as TEAM=FILE")?;
        Ok(PartFile {
            team: team.to_owned(),
            file: PathBuf::from(file),
        })
    }
}

/// Builds the parser for the whole command line.
pub(crate) fn command() -> OptionParser<Command> {
    let platform = platform();
    let engine = engine();
    let service = service();
    let load = load();
    construct!([platform, engine, service, load])
        .to_options()
        .descr("Test doubles for the systems that crocushold communicates with; for tests only")
}

fn platform() -> impl Parser<Command> {
    let listen = listen();
    let part = long("part")
        .help("File with a team's part of the configuration text; may be repeated")
        .argument::<PartFile>("TEAM=FILE")
        .many();
    let instances = long("instances")
        .help("File with the instance list: a JSON array of instances")
        .argument::<PathBuf>("FILE")
        .optional();
    let budget = long("budget")
        .help("Reads granted per second")
        .argument::<u64>("READS")
        .fallback(2000)
        .display_fallback();
    construct!(Command::Platform {
        listen,
        part,
        instances,
        budget,
    })
    .to_options()
    .descr("The configuration service and the instance list")
    .command("platform")
}

fn engine() -> impl Parser<Command> {
    let listen = listen();
    let count = long("count")
        .help("Number of engines to run; all but the first listen on free ports")
        .argument::<usize>("N")
        .fallback(1)
        .display_fallback();
    let settings = settings();
    let model = long("model")
        .help("Model loaded at startup; replaces the models of the settings; may be repeated")
        .argument::<String>("MODEL")
        .many();
    construct!(Command::Engine {
        listen,
        count,
        settings,
        model,
    })
    .to_options()
    .descr("A model engine")
    .command("engine")
}

fn service() -> impl Parser<Command> {
    let listen = listen();
    let settings = settings();
    construct!(Command::Service { listen, settings })
        .to_options()
        .descr("A plain service that counts side effects")
        .command("service")
}

fn load() -> impl Parser<Command> {
    let entry = long("entry")
        .help("Address that requests are sent to; replaces those of the plan; may be repeated")
        .argument::<SocketAddr>("ADDR")
        .many();
    let standin = long("standin")
        .help("Stand-in whose run counts are read; replaces those of the plan; may be repeated")
        .argument::<SocketAddr>("ADDR")
        .many();
    let plan = long("plan")
        .help("JSON file with the plan; omitted fields keep their defaults")
        .argument::<PathBuf>("FILE");
    construct!(Command::Load {
        entry,
        standin,
        plan,
    })
    .to_options()
    .descr("An open-loop load generator that prints its report as JSON")
    .command("load")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .argument::<SocketAddr>("ADDR")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}

fn settings() -> impl Parser<Option<String>> {
    long("settings")
        .help("Settings as JSON; omitted fields keep their defaults")
        .argument::<String>("JSON")
        .optional()
}
