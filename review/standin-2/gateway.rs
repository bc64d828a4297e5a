//! The project's program as a process, with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::http::get;
use crate::store::eventually;

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/crocushold";
const ARGUMENTS: [&str; 2] = ["gateway", "--waiting-line"];

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A loopback address of this process for the next machine or runner.
pub fn next_host() -> IpAddr {
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        64 + (process % 128) as u8,
        (process / 128 % 250) as u8,
        host,
    )
    .into()
}

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    http: u16,
    readiness: u16,
    admin: u16,
    internal: u16,
}

impl Ports {
    /// Ports that are free at this moment.
    pub fn free() -> Ports {
        let listeners: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("0.0.0.0:0").expect("a free port"))
            .collect();
        let port = |at: usize| listeners[at].local_addr().expect("a bound address").port();
        Ports {
            http: port(0),
            readiness: port(1),
            admin: port(2),
            internal: port(3),
        }
    }
}

/// A machine that runs a gateway.
pub struct Gateway {
    pub http: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of machine `number`. `hosts` are those of all machines.
    pub fn new(
        folder: &Path,
        number: usize,
        hosts: &[IpAddr],
        ports: Ports,
        store: SocketAddr,
    ) -> Gateway {
        let ip = hosts[number];
        let name = format!("edge-{number}");
        let zone = if number % 2 == 0 { "zone-a" } else { "zone-b" };
        let seeds = hosts
            .iter()
            .take(3)
            .map(|host| format!("{host}:{}", ports.admin));
        let seeds: Vec<String> = seeds.collect();
        let text = format!(
            "node-name={name}\nrole=gateway\nmachine-class=edge\nserves=edge,control_plane\nip={ip}\n\
             zone={zone}\nregion=here\nzones.zone-a=here\nzones.zone-b=here\n\
             listen.http={ip}:{}\nlisten.readiness={ip}:{}\nlisten.admin={ip}:{}\n\
             internal-ports={},{}\nseed-nodes={}\nbootstrap=true\nfault-counted=false\n\
             limits.cpu-quota=0.25\nlimits.cores=1\nlimits.memory-mb=110\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\ningress=vip\nheartbeat-ms=1200\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.stable-window-ms=3000\nbounds.ack-ms=4000\n\
             bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
             bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.skew-max-ms=5000\n\
             bounds.strict-revocation=false\nbounds.revoke-ms=5000\nbounds.retry-budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.retry-budget-extra=56\nbounds.recovery-s=12\n\
             bounds.pass-ms=120\nbounds.retry-after-s=6.7\nplatform.address={store}\nplatform.form=read\n\
             platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.history-s=20\n\
             platform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n",
            ports.http,
            ports.readiness,
            ports.admin,
            ports.internal,
            ports.internal,
            seeds.join(","),
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        Gateway {
            http: SocketAddr::new(ip, ports.http),
            readiness: SocketAddr::new(ip, ports.readiness),
            log: folder.join(format!("{name}.log")),
            settings,

            child: None,
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.args(ARGUMENTS).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("CROCUSHOLD_BOOT", &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/v1/readyz").is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) -> std::io::Result<()> {
        eventually(|| self.is_ready())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
