//! An entry instance as a process of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crocushold_metrics::status::Status;
use http_types::Method;

use super::caller::Answer;
use super::caller::Call;
use super::caller::call;
use super::wait::wait;

/// How long an instance may take to reach a state before the test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running `crocushold serve`; ended when dropped.
pub struct Entry {
    child: Child,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Entry {
    /// Starts an instance and waits until it listens.
    pub fn start(args: &[String]) -> Entry {
        Entry::start_logging(args, Stdio::inherit())
    }

    /// Starts an instance whose log goes to `log`, and waits until it listens.
    pub fn start_logging(args: &[String], log: impl Into<Stdio>) -> Entry {
        let mut child = Command::new(env!("CARGO_BIN_EXE_crocushold"))
            .arg("serve")
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |name: &str| {
            let line = lines.next().unwrap().unwrap();
            line.strip_prefix(name).unwrap().parse().unwrap()
        };
        let listen = address("listening=");
        let operator = address("operator=");
        Entry {
            child,
            listen,
            operator,
        }
    }

    /// Reads a page of the operator's interface.
    pub fn page(&self, path: &str) -> Option<Answer> {
        let page = Call {
            method: Method::Get,
            path: path.to_owned(),
            key: String::new(),
            headers: Vec::new(),
            body: String::new(),
        };
        call(self.operator, &page)
    }

    /// Waits until the instance says that it serves.
    pub fn wait_ready(&self) {
        self.wait_for("/ready", |answer| answer.status == 200);
    }

    /// Waits until a page of the operator's interface satisfies a condition.
    ///
    /// # Panics
    ///
    /// When it doesn't within 20 s.
    pub fn wait_for(&self, path: &str, condition: impl Fn(&Answer) -> bool) {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if self.page(path).is_some_and(|answer| condition(&answer)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("{path} did not reach the state in {PATIENCE:?}");
    }

    /// The status page.
    pub fn status(&self) -> Status {
        let page = self
            .page("/status")
            .expect("the operator's interface answers");
        serde_json::from_str(&page.body).unwrap()
    }

    /// Requests that wait in the queue of a class.
    pub fn queued(&self, class: &str) -> u64 {
        let status = self.status();
        let mut classes = status.classes.iter();
        let name = format!("team/{class}");
        classes.find(|c| c.class == name).unwrap().queued
    }

    /// Requests in flight of a class.
    pub fn running(&self, class: &str) -> u64 {
        let status = self.status();
        let mut classes = status.classes.iter();
        let name = format!("team/{class}");
        classes.find(|c| c.class == name).unwrap().running
    }

    /// Requests of a class that ended in a way, such as `cancelled`, as the metrics count them.
    pub fn ended(&self, class: &str, end: &str) -> u64 {
        let page = self.page("/metrics").unwrap();
        let class = format!("class=\"team/{class}\"");
        let end = format!("end=\"{end}\"");
        let lines = page.body.lines();
        let lines = lines.filter(|line| line.starts_with("crocushold_requests_total{"));
        let lines = lines.filter(|line| line.contains(&class) && line.contains(&end));
        let counts = lines.map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap());
        counts.sum()
    }

    /// Requests in flight at the backend servers.
    pub fn in_flight(&self) -> u64 {
        self.status().servers.iter().map(|s| s.running).sum()
    }

    /// Waits until no request waits or is in flight: every slot was given back.
    pub fn wait_idle(&self) {
        wait("every slot was given back", || {
            let status = self.status();
            let held: u64 = status.classes.iter().map(|c| c.queued + c.running).sum();
            let running: u64 = status.servers.iter().map(|s| s.running).sum();
            held == 0 && running == 0
        });
    }

    /// Waits until a revision of the configuration is in force.
    pub fn wait_in_force(&self, revision: u64) {
        wait("the revision is in force", || {
            self.status().config.revision == revision
        });
    }

    /// Waits until the listener for callers is closed.
    pub fn wait_closed(&self) {
        wait("the listener is closed", || {
            TcpStream::connect(self.listen).is_err()
        });
    }

    /// Sets a fail point of the process, in the language of the crate `fail`.
    pub fn set_point(&self, point: &str, actions: &str) {
        let page = Call {
            method: Method::Post,
            path: format!("/failpoints/{point}/{actions}"),
            key: String::new(),
            headers: Vec::new(),
            body: String::new(),
        };
        let answer = call(self.operator, &page).expect("the operator's interface answers");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Holds whatever comes to a fail point, until [`Entry::release`].
    pub fn hold(&self, point: &str) {
        self.set_point(point, "return");
    }

    /// Lets go on what is held at a fail point.
    pub fn release(&self, point: &str) {
        self.set_point(point, "off");
    }

    /// How much is held at a fail point.
    pub fn held(&self, point: &str) -> u64 {
        let page = self.page(&format!("/failpoints/{point}")).unwrap();
        page.body.parse().expect("the binary has fail points")
    }

    /// Waits until something is held at a fail point.
    pub fn wait_held(&self, point: &str) {
        wait("something is held at the point", || self.held(point) > 0);
    }

    /// Sends the process a signal, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.unwrap().success());
    }

    /// Ends the process at once, as a failing machine does.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to end by itself; true when it reported success.
    pub fn wait_exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
