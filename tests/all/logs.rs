//! What a running instance logs, and at which levels.

use std::fs;
use std::fs::File;

use test_case::test_case;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::TempDir;
use crate::support::call;

/// The log of an instance that serves a caller and refuses a stranger.
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
    let stranger = served.key("team.the-wrong-key");
    assert_eq!(call(entry.listen, &stranger).unwrap().status, 401);
    drop(entry);
    fs::read_to_string(file).unwrap()
}

/// An operator looks into one module and doesn't want the lines of all others. Each line is made of
/// pairs, so that a program can read it.
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

/// A prompt, an answer or a key in a log outlives its owner's wish to have it forgotten, and whoever
/// reads logs could use the key. Not even the most detailed level of any module shows one.
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
