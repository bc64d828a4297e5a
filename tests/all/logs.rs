//! The lines that a running instance logs, and their levels.

use std::fs;
use std::fs::File;

use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::TempDir;
use crate::support::call;

/// Returns the log of an instance that serves one caller and refuses an unknown one.
fn logged(levels: &str) -> String {
    let site = Site::start(&SiteSettings::default());
    let folder = TempDir::new();
    let file = folder.path().join("log");
    let levels = [format!("--log={levels}")];
    let args = [&levels[..], &site.args("entry-1")].concat();
    let entry = Entry::start_with_log(&args, File::create(&file).unwrap());
    entry.wait_ready();
    let served = Call::chat(true, 3).marked("the-answer");
    let served = Call {
        body: served.body.replace("hello", "the-prompt"),
        ..served
    };
    let answer = call(entry.listen, &served).unwrap();
    assert!(answer.whole && answer.body.contains("the-answer 2 "));
    let unknown_caller = served.key("team.the-wrong-key");
    assert_eq!(call(entry.listen, &unknown_caller).unwrap().status, 401);
    drop(entry);
    fs::read_to_string(file).unwrap()
}

/// An operator debugs one module without the lines of all others. Each line consists of `key=value`
/// pairs, so that programs can parse it.
#[test]
fn levels_are_set_module_by_module() {
    let log = logged("warn, crocushold_entry::callers=debug");
    assert!(
        log.contains(" level=debug module=crocushold_entry::callers event=refused "),
        "{log}"
    );
    for line in log.lines() {
        assert!(line.starts_with("time="), "{line}");
        assert!(!line.contains(" level=info "), "{line}");
    }
}

/// A prompt, answer or key in a log would outlive its deletion elsewhere, and readers of the log
/// could use the key. None may appear, even at the most detailed level of any module.
#[test_case("info")]
#[test_case("trace")]
fn no_prompt_answer_or_key_is_logged(levels: &str) {
    let log = logged(levels);
    assert!(log.contains("event=config-in-force"), "nothing was logged");
    for secret in [
        "the-prompt",
        "the-answer 1",
        "team.chat",
        "the-wrong-key",
        "0123456789abcdef",
    ] {
        assert!(!log.contains(secret), "{secret} was logged");
    }
}
