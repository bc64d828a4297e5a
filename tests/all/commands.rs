//! The commands that need no running instance.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use crate::support::Folder;

/// A text with ten mistakes, each on the line that its comment-free neighbours make obvious.
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
    let folder = Folder::new();
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
    for line in [4, 6, 10, 11, 12, 13, 14, 15, 19, 21] {
        let start = format!("line {line}: error: team a:");
        assert!(printed.contains(&start), "{start} is not in\n{printed}");
    }
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
