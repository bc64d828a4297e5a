//! Stand-ins and checks of the cases of the second review. `review/build-2.sh` builds this program, and the
//! `run.sh` of each case starts it. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run.

mod early;
mod gateway;
mod http;
mod order;
mod path;
mod record;
mod runner;
mod smuggle;
mod split;
mod store;
mod unframed;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// The result of a case: whether the rule was broken.
pub type Outcome = std::io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Record::create(Path::new(record));
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let outcome = match case.as_str() {
        "order" => order::run(&folder, &record, has_trouble),
        "smuggle" => smuggle::run(&folder, &record, has_trouble),
        "unframed" => unframed::run(&folder, &record, has_trouble),
        "split" => split::run(&folder, &record, has_trouble),
        "early" => early::run(&folder, &record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let status = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.line(&format!("outcome {outcome:?}, exit status {status}"));
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        eprintln!("kept {}", folder.display());
    }
    ExitCode::from(status)
}
