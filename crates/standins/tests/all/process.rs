//! The stand-ins as separate processes.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use test_case::test_case;

use crate::wire;

/// Kills the process when dropped, even if the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test_case(&["platform", "--budget", "5"], "/v1/config", r#"{"kind":"down","on":true}"#)]
#[test_case(&["engine", "--model", "m"], "/v1/models", r#"{"kind":"crash"}"#)]
#[test_case(&["service"], "/load", r#"{"kind":"crash"}"#)]
#[async_std::test]
async fn process_prints_its_addresses_and_accepts_commands(args: &[&str], path: &str, down: &str) {
    let (_process, lines) = start(args, 2);
    let listening = address(&lines[0], "listening=");
    let control = address(&lines[1], "control=");
    assert_eq!(wire::get(listening, path).await.status, 200);
    assert_eq!(wire::post(control, "/control", "", down).await.status, 204);
    assert!(async_std::net::TcpStream::connect(listening).await.is_err());
    assert_eq!(wire::get(control, "/control/stats").await.status, 200);
}

#[async_std::test]
async fn one_process_runs_several_engines() {
    let (_process, lines) = start(&["engine", "--count", "3"], 6);
    for line in lines.iter().step_by(2) {
        let engine = address(line, "listening=");
        assert_eq!(wire::get(engine, "/load").await.status, 200);
    }
}

fn start(args: &[&str], count: usize) -> (Process, Vec<String>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crocushold-standin"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let process = Process(child);
    let lines = out.lines().take(count).map(Result::unwrap).collect();
    (process, lines)
}

fn address(line: &str, key: &str) -> SocketAddr {
    line.strip_prefix(key).unwrap().parse().unwrap()
}
