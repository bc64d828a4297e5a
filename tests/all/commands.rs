//! The commands that need no running instance.

use std::fs;
use std::io::pipe;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use test_case::test_case;

use crate::support::TempDir;

/// A configuration with ten mistakes, each on a line of its own.
const TEN_MISTAKES: &str = "\
[team a]
format = 1
[service fleet]
kind = engine
[server fleet/one]
address = nowhere
zone = z
[class chat]
service = fleet
priority = 9
first-token = 350
floor = 200 %
idempotent = maybe
colour = blue
[class chat]
service = fleet
priority = 1
whole-answer = 1 s
idempotent = yes
[account x]
key-sha256 = 12
classes = chat
requests = 5
tokens = 5/s
concurrency = 1
";

fn crocushold(args: &[&str], file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_crocushold"))
        .args(args)
        .arg(file)
        .output()
        .unwrap()
}

fn run(args: &[&str], text: &str) -> (i32, String) {
    let folder = TempDir::new();
    let file = folder.path().join("text.ini");
    fs::write(&file, text).unwrap();
    let output = crocushold(args, &file);
    let printed = String::from_utf8(output.stdout).unwrap();
    (output.status.code().unwrap(), printed)
}

fn booking() -> String {
    let page = include_str!("../../crates/config/tests/data/booking.ini");
    page.to_owned()
}

#[test]
fn check_accepts_the_worked_example() {
    let (status, printed) = run(&["check", "--strict"], &booking());
    assert_eq!((status, printed.as_str()), (0, ""));
}

#[test]
fn check_lists_ten_mistakes_with_their_lines() {
    let (status, printed) = run(&["check"], TEN_MISTAKES);
    assert_eq!(status, 1);
    for line in [4, 6, 10, 11, 12, 13, 14, 15, 21, 23] {
        let start = format!("line {line}: error: team a:");
        assert!(printed.contains(&start), "{start} is not in\n{printed}");
    }
    let errors = printed.lines().filter(|line| line.contains(": error: "));
    assert_eq!(errors.count(), 10, "{printed}");
}

/// In `crocushold check part.ini | head -1` the reader closes the pipe early. The program must exit
/// with its own status, not with a panic that looks like a fault of the configuration.
#[test_case(&["check"], 1; "check")]
#[test_case(&["explain", "--key=nobody", "--model=m"], 1; "explain")]
#[test_case(&["--help"], 0; "help")]
fn a_closed_pipe_changes_no_status(args: &[&str], expected: i32) {
    let folder = TempDir::new();
    let file = folder.path().join("text.ini");
    fs::write(&file, TEN_MISTAKES).unwrap();
    let (reader, writer) = pipe().unwrap();
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_crocushold"))
        .args(args)
        .arg(file)
        .stdout(writer)
        .output()
        .unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(expected), "{errors}");
    assert!(!errors.contains("panicked"), "{errors}");
}

/// A misspelt option in a pipeline must not look like "a class burns" or "rejected", which are
/// status 1.
#[test_case(&["burn", "--instanc=127.0.0.1:1"]; "misspelt option")]
#[test_case(&["burn"]; "missing option")]
#[test_case(&["chekc"]; "misspelt command")]
#[test_case(&[]; "nothing")]
fn a_usage_error_has_a_status_of_its_own(args: &[&str]) {
    let output = program(args);
    assert_eq!(output.status.code(), Some(64));
    assert!(output.stdout.is_empty());
    assert!(!output.stderr.is_empty());
}

#[test_case("serve")]
#[test_case("check")]
#[test_case("explain")]
#[test_case("burn")]
#[test_case("status")]
#[test_case("gateway")]
#[test_case("trace")]
#[test_case("latencies")]
fn help_lists_the_exit_statuses(command: &str) {
    let output = program(&[command, "--help"]);
    assert_eq!(output.status.code(), Some(0));
    let help = String::from_utf8(output.stdout).unwrap();
    let words: Vec<&str> = help.split_whitespace().collect();
    let help = words.join(" ");
    assert!(help.contains("Exit status: 0"), "{help}");
    assert!(help.contains("64 a usage error"), "{help}");
}

#[test]
fn help_names_the_commands_and_the_exit_statuses() {
    let help = String::from_utf8(program(&["--help"]).stdout).unwrap();
    for word in [
        "serve",
        "check",
        "explain",
        "burn",
        "status",
        "gateway",
        "trace",
        "latencies",
        "64 a usage error",
    ] {
        assert!(help.contains(word), "{word} is not in\n{help}");
    }
}

/// A completion script must name the program, and completion requests must return candidates.
#[test_case("bash")]
#[test_case("zsh")]
#[test_case("fish")]
fn a_shell_gets_its_completion(shell: &str) {
    let script = program(&[&format!("--bpaf-complete-style-{shell}")]);
    assert_eq!(script.status.code(), Some(0));
    let text = String::from_utf8(script.stdout).unwrap();
    assert!(text.contains("crocushold"), "{text}");
    assert!(text.contains("--bpaf-complete-rev="), "{text}");
}

#[test]
fn commands_and_options_are_completed() {
    let complete = |args: &[&str]| {
        let args = [&["--bpaf-complete-rev=8"], args].concat();
        String::from_utf8(program(&args).stdout).unwrap()
    };
    assert!(complete(&["sta"]).contains("status"));
    assert!(complete(&["status", "--i"]).contains("--instance"));
}

fn program(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_crocushold");
    Command::new(program).args(args).output().unwrap()
}

#[test]
fn check_says_when_a_file_is_missing() {
    let output = crocushold(&["check"], Path::new("no-such-file.ini"));
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn explain_names_class_and_servers() {
    let args = [
        "explain",
        "--key=clara.example-parents-key",
        "--model=clara-8b",
    ];
    let (status, printed) = run(&args, &booking());
    assert_eq!(status, 0);
    assert!(printed.contains("class: clara/chat"), "{printed}");
    assert!(
        printed.contains("server: clara/model-fleet/runner-1"),
        "{printed}"
    );
}

#[test]
fn explain_says_why_a_request_is_refused() {
    let args = ["explain", "--key=nobody", "--model=clara-8b"];
    let (status, printed) = run(&args, &booking());
    assert_eq!(status, 1);
    assert!(printed.contains("status 401"), "{printed}");
}

/// An operator checks the files that the platform will pass to gateways: each mistake is reported
/// with its location.
#[test_case("node-name=a\nzone=z\nlisten.http=here\n", "line 3: listen.http"; "settings")]
#[test_case("{\"version\": 1,\n \"route-table\": 7}", "line 2"; "a configuration that can't be read")]
#[test_case("{\"version\": 1, \"route-table\": [{\"name\": \"r\", \"host\": \"h\", \"prefix\": \"/a\", \"kind\": \"safe\", \"timeout-ms\": 1, \"service\": \"s\"}]}", "route r: the prefix"; "a configuration with a mistake")]
fn check_finds_mistakes_of_the_platforms_files(text: &str, expected: &str) {
    let (status, printed) = run(&["check", "--platform"], text);
    assert_eq!(status, 1);
    assert!(printed.contains(expected), "{printed}");
}

#[test]
fn a_gateway_with_bad_settings_does_not_start() {
    let (status, _) = run(&["gateway"], "node-name=a\n");
    assert_eq!(status, 2);
}

/// A caller reports the identifier of a failed request. `trace` prints the log line of the request
/// and the line of the configuration under which it was handled.
#[test]
fn trace_explains_a_request() {
    let log = "event=config-in-force version=3\nevent=request-ended request=r1 outcome=late\n\
               event=request-ended request=r2 outcome=answered\n";
    let (status, printed) = run(&["trace", "r1"], log);
    let lines: Vec<&str> = log.lines().take(2).collect();
    assert_eq!((status, printed.lines().collect()), (0, lines));
    let (status, printed) = run(&["trace", "r9"], log);
    assert_eq!((status, printed.as_str()), (1, ""));
}

/// `latencies` shows which class was late, and when. A log without requests gives an empty table,
/// and an interval of zero is a usage error.
#[test]
fn latencies_prints_a_row_for_each_class() {
    let log = "time=2026-02-12T10:00:00.500+0000 event=request-ended route=r outcome=answered first=30ms\n";
    let (status, printed) = run(&["latencies"], log);
    let rows: Vec<&str> = printed.lines().skip(1).collect();
    assert_eq!((status, rows.len()), (0, 1), "{printed}");
    assert!(
        rows[0].starts_with("r ") && rows[0].contains("30/30/30"),
        "{printed}"
    );
    let log = log.replace("first=30ms", "first=30ms expected-wait=9ms prefix=7f");
    let (status, printed) = run(&["latencies"], &log);
    assert_eq!(status, 0);
    assert!(
        printed.contains("all chosen by themselves: rank correlation none"),
        "{printed}"
    );
    let (status, printed) = run(&["latencies"], "event=started\n");
    assert_eq!((status, printed.lines().count()), (0, 1));
    let (status, _) = run(&["latencies", "--span", "0"], &log);
    assert_eq!(status, 64);
}
