//! `crocushold check`: validates a configuration before it is published.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use crocushold_adapter::decode_config;
use crocushold_adapter::read_settings;
use crocushold_config::ConfigText;
use crocushold_config::Finding;
use crocushold_config::Settings;
use crocushold_config::Severity;
use crocushold_gateway::findings;

use super::print;

/// Exit status when a configuration would be rejected, in whole or in part.
const REJECTED: u8 = 1;
/// Exit status when a file can't be read.
const UNREADABLE: u8 = 2;

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub struct Args {
    settings: bool,
    platform: bool,
    strict: bool,
    files: Vec<PathBuf>,
}

/// The parser of `check`.
pub fn args() -> impl Parser<Args> {
    let settings = long("settings")
        .help("The files are settings of instances, not parts of the shared configuration")
        .switch();
    let platform = long("platform")
        .help("The files are settings of gateways, or configurations as the platform's store holds them")
        .switch();
    let strict = long("strict")
        .help("Exit with status 1 on warnings too")
        .switch();
    let files = positional::<PathBuf>("FILE")
        .help("Parts of the shared configuration; several files are checked together, as they are published")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .some("give at least one FILE");
    construct!(Args {
        settings,
        platform,
        strict,
        files
    })
    .to_options()
    .descr("Checks a configuration before it is published")
    .footer("Exit status: 0 accepted, 1 rejected in whole or in part, 2 a file can't be read, 64 a usage error")
    .command("check")
}

/// Prints every finding on a line of its own and returns the exit status.
pub fn run(args: &Args) -> ExitCode {
    let texts = match read(&args.files) {
        Ok(texts) => texts,
        Err(message) => {
            print::error(message);
            return ExitCode::from(UNREADABLE);
        }
    };
    if args.platform {
        return check_platform(&args.files, &texts);
    }
    let findings = if args.settings {
        texts
            .iter()
            .flat_map(|text| settings_findings(text))
            .collect()
    } else {
        ConfigText::parse(&texts.concat()).findings()
    };
    let lines = findings.iter().map(|finding| format!("{finding}\n"));
    print::out(lines.collect::<String>());
    let errors = count(&findings, Severity::Error);
    let warnings = findings.len() - errors;
    print::error(format!("{errors} errors, {warnings} warnings"));
    if errors > 0 || (args.strict && warnings > 0) {
        return ExitCode::from(REJECTED);
    }
    ExitCode::SUCCESS
}

/// Checks each file separately and prints every finding with its file name.
fn check_platform(files: &[PathBuf], texts: &[String]) -> ExitCode {
    let mut count = 0;
    for (file, text) in files.iter().zip(texts) {
        for finding in platform_findings(text) {
            count += 1;
            print::out(format!("{}: {finding}\n", file.display()));
        }
    }
    print::error(format!("{count} findings"));
    if count > 0 {
        return ExitCode::from(REJECTED);
    }
    ExitCode::SUCCESS
}

/// Text that begins with `{` is a JSON configuration; anything else is read as settings.
fn platform_findings(text: &str) -> Vec<String> {
    if !text.trim_start().starts_with('{') {
        let findings = read_settings(text).err().unwrap_or_default();
        return findings.iter().map(ToString::to_string).collect();
    }
    match decode_config(text.as_bytes()) {
        Ok(spec) => findings(&spec),
        Err(finding) => vec![finding],
    }
}

fn settings_findings(text: &str) -> Vec<Finding> {
    Settings::parse(text).err().unwrap_or_default()
}

fn count(findings: &[Finding], severity: Severity) -> usize {
    let matching = findings
        .iter()
        .filter(|finding| finding.severity == severity);
    matching.count()
}

/// Reads the files. A line break is appended where one is missing, so that the next file starts on
/// a new line.
pub(super) fn read(files: &[PathBuf]) -> Result<Vec<String>, String> {
    let texts = files.iter().map(|file| {
        let text = fs::read_to_string(file);
        let mut text = text.map_err(|error| format!("{}: {error}", file.display()))?;
        if !text.ends_with('\n') {
            text.push('\n');
        }
        Ok(text)
    });
    texts.collect()
}
