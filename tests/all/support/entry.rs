//! An entry instance in a process of its own.

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

/// How long an instance may take to reach a state before the test fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// A running `crocushold serve` process, killed on drop.
pub struct Entry {
    child: Child,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Entry {
    /// Starts an instance and waits until it listens.
    pub fn start(args: &[String]) -> Entry {
        Entry::start_with_log(args, Stdio::inherit())
    }

    /// Starts an instance whose log goes to `log`, and waits until it listens.
    pub fn start_with_log(args: &[String], log: impl Into<Stdio>) -> Entry {
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

    /// The process's identity.
    #[allow(dead_code, reason = "only the test of clients uses it")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a page of the operator interface.
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

    /// Waits until the instance reports that it is ready.
    pub fn wait_ready(&self) {
        self.wait_for("/ready", |answer| answer.status == 200);
    }

    /// Waits until a page of the operator interface satisfies a condition.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't within 20 s.
    pub fn wait_for(&self, path: &str, condition: impl Fn(&Answer) -> bool) {
        let start = Instant::now();
        while start.elapsed() < STATE_TIMEOUT {
            if self.page(path).is_some_and(|answer| condition(&answer)) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("{path} did not reach the state in {STATE_TIMEOUT:?}");
    }

    /// Returns the status document.
    pub fn status(&self) -> Status {
        let page = self
            .page("/status")
            .expect("the operator interface responds");
        serde_json::from_str(&page.body).unwrap()
    }

    /// Returns the number of queued requests of a class.
    pub fn queued(&self, class: &str) -> u64 {
        let status = self.status();
        let mut classes = status.classes.iter();
        let name = format!("team/{class}");
        classes.find(|c| c.class == name).unwrap().queued
    }

    /// Returns the number of requests in flight of a class.
    pub fn running(&self, class: &str) -> u64 {
        let status = self.status();
        let mut classes = status.classes.iter();
        let name = format!("team/{class}");
        classes.find(|c| c.class == name).unwrap().running
    }

    /// Returns the number of requests of a class that ended in a given way, such as `cancelled`,
    /// from the metrics.
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

    /// Returns the time that requests of a class waited in the queue, in seconds and in all by the instance's
    /// clock, and their number.
    pub fn queue_waits(&self, class: &str) -> (f64, f64) {
        let page = self.page("/metrics").unwrap();
        let value = |name: &str| {
            let series = format!("crocushold_queue_wait_seconds_{name}{{class=\"team/{class}\"}} ");
            let mut lines = page.body.lines();
            let value = lines.find_map(|line| line.strip_prefix(&series));
            value.map_or(0.0, |value| value.parse().unwrap())
        };
        (value("sum"), value("count"))
    }

    /// Returns the number of requests in flight at the backend servers.
    pub fn in_flight(&self) -> u64 {
        self.status().servers.iter().map(|s| s.running).sum()
    }

    /// Waits until no request is queued or in flight, so that every slot has been released.
    pub fn wait_idle(&self) {
        wait("every slot was released", || {
            let status = self.status();
            let open: u64 = status.classes.iter().map(|c| c.queued + c.running).sum();
            let running: u64 = status.servers.iter().map(|s| s.running).sum();
            open == 0 && running == 0
        });
    }

    /// Waits until a revision of the configuration is active.
    pub fn wait_active(&self, revision: u64) {
        wait("the revision is active", || {
            self.status().config.revision == revision
        });
    }

    /// Waits until the listener for callers is closed.
    pub fn wait_closed(&self) {
        wait("the listener is closed", || {
            TcpStream::connect(self.listen).is_err()
        });
    }

    /// Configures a fail point of the process, in the syntax of the `fail` crate.
    pub fn set_fail_point(&self, point: &str, actions: &str) {
        let page = Call {
            method: Method::Post,
            path: format!("/failpoints/{point}/{actions}"),
            key: String::new(),
            headers: Vec::new(),
            body: String::new(),
        };
        let answer = call(self.operator, &page).expect("the operator interface responds");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Blocks every task that reaches a fail point until [`Entry::release`].
    pub fn hold(&self, point: &str) {
        self.set_fail_point(point, "return");
    }

    /// Releases the tasks that are blocked at a fail point.
    pub fn release(&self, point: &str) {
        self.set_fail_point(point, "off");
    }

    /// Returns the number of tasks that are blocked at a fail point.
    pub fn held(&self, point: &str) -> u64 {
        let page = self.page(&format!("/failpoints/{point}")).unwrap();
        page.body.parse().expect("the binary has fail points")
    }

    /// Waits until a task is blocked at a fail point.
    pub fn wait_held(&self, point: &str) {
        wait("something is held at the point", || self.held(point) > 0);
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`, to the process. After `STOP`, waits until it has
    /// stopped: the signal is only queued when `kill` returns, and a process without processor time acts
    /// on it later.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.unwrap().success());
        if name == "STOP" {
            let sent = Instant::now();
            wait("the process is stopped", || self.is_stopped());
            println!("stopped {:?} after the signal was sent", sent.elapsed());
        }
    }

    /// Whether all threads of the process are stopped.
    fn is_stopped(&self) -> bool {
        let tasks = format!("/proc/{}/task", self.child.id());
        let mut tasks = std::fs::read_dir(tasks).expect("the process runs");
        tasks.all(|task| {
            let stat = task.and_then(|task| std::fs::read_to_string(task.path().join("stat")));
            // The state follows the name of the thread, which is in parentheses. A thread that has just
            // ended has none.
            stat.map_or(true, |stat| {
                stat.rsplit(')')
                    .next()
                    .is_some_and(|rest| rest.starts_with(" T"))
            })
        })
    }

    /// Kills the process, as a failure of its machine does.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit by itself. Returns whether it reported success.
    pub fn wait_exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
