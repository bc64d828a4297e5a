//! `crocushold explain`: shows which class, servers and limits a request would get, and why.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_config::KeyDigest;
use crocushold_config::Target;
use crocushold_config::explain;

use super::check;
use super::print;

/// Exit status when the request would be refused.
const REFUSED: u8 = 1;
/// Exit status when a file can't be read.
const UNREADABLE: u8 = 2;

/// The arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Args {
    key: Key,
    class: Option<String>,
    request: Request,
    files: Vec<PathBuf>,
}

#[derive(Clone, Debug)]
enum Key {
    Plain(String),
    Digest(KeyDigest),
}

#[derive(Clone, Debug)]
enum Request {
    Model(String),
    Path(String, String),
}

/// The parser of `explain`.
pub fn args() -> impl Parser<Args> {
    let plain = long("key")
        .help("The caller's key")
        .argument::<String>("KEY")
        .map(Key::Plain);
    let digest = long("key-sha256")
        .help("The SHA-256 digest of the caller's key, as the configuration holds it")
        .argument::<String>("DIGEST")
        .parse(|text| KeyDigest::from_hex(&text).ok_or("write 64 hexadecimal digits"))
        .map(Key::Digest);
    let key = construct!([plain, digest]);
    let class = long("class")
        .help("The class that the caller requests in x-class")
        .argument::<String>("CLASS")
        .optional();
    let model = long("model")
        .help("The model that the request names")
        .argument::<String>("MODEL")
        .map(Request::Model);
    let request = construct!([model, path()]);
    let files = positional::<PathBuf>("FILE")
        .help("Parts of the shared configuration")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .some("give at least one FILE");
    construct!(Args {
        key,
        class,
        request,
        files
    })
    .to_options()
    .descr("Shows which class, servers and limits a request would get, and why")
    .footer("Exit status: 0 explained, 1 the request would be refused, 2 a file can't be read, 64 a usage error")
    .command("explain")
}

fn path() -> impl Parser<Request> {
    let path = long("path")
        .help("The path of a call to a plain service")
        .argument::<String>("PATH");
    let method = long("method")
        .help("The HTTP method of the call")
        .argument::<String>("METHOD")
        .fallback("GET".to_owned())
        .display_fallback();
    construct!(method, path).map(|(method, path)| Request::Path(method, path))
}

/// Prints the explanation and returns the exit status.
pub fn run(args: &Args) -> ExitCode {
    let texts = match check::read(&args.files) {
        Ok(texts) => texts,
        Err(message) => {
            print::error(message);
            return ExitCode::from(UNREADABLE);
        }
    };
    let catalog = Catalog::new(&ConfigText::parse(&texts.concat()));
    let credential = match &args.key {
        Key::Plain(key) => Credential::of(key),
        Key::Digest(digest) => Credential::from_digest(*digest),
    };
    let target = match &args.request {
        Request::Model(id) => Target::Model(id),
        Request::Path(method, path) => Target::Path { method, path },
    };
    match explain(&catalog, &credential, target, args.class.as_deref()) {
        Ok(explanation) => {
            print::out(explanation);
            ExitCode::SUCCESS
        }
        Err(refusal) => {
            let status = refusal.status();
            print::out(format!("refused with status {status}: {refusal}\n"));
            ExitCode::from(REFUSED)
        }
    }
}
