//! The local settings of one instance, in an INI file of their own.

use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crocushold_base::Millis;

use crate::fields::Fields;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::source;
use crate::source::Section;
use crate::units;
use crate::units::ValueError;

/// Maximum size of a settings file, in bytes.
const MAX_SETTINGS_BYTES: usize = 64 << 10;

/// Minimum length of a peer key, to prevent brute-force attacks.
const MIN_PEER_KEY_LENGTH: usize = 32;

const MIB: u64 = 1 << 20;

/// Upper bound of the memory of a caller's connection, excluding its requests, in bytes: its task,
/// 20 KiB of read-ahead in a buffer of 32 KiB, and the buffers of an answer.
pub const CONNECTION_BYTES: u64 = 80 << 10;

/// Longest request head that the HTTP library reads, in bytes. A higher limit would have no effect.
const MAX_HEAD_BYTES: u64 = 8191;

/// Minimum memory limit at which an instance is usable, in bytes.
const MIN_MEMORY_BYTES: u64 = 16 * MIB;

const UNKNOWN_SECTION: &str =
    "the section is unknown; write [instance], [platform], [peers] or [limits]";

/// A secret that its `Debug` output redacts.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new(secret: impl Into<String>) -> Secret {
        Secret(secret.into())
    }

    /// Returns the secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_empty() { "unset" } else { "redacted" })
    }
}

/// Limits on what callers can send or occupy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request's head.
    pub head_timeout: Millis,
    /// Timeout for receiving a request's whole body.
    pub body_timeout: Millis,
    /// Timeout for writing to a caller that doesn't read its answer.
    pub write_timeout: Millis,
    /// How long an idle connection is kept open between requests.
    pub idle_timeout: Millis,
    /// How long a caller that is waited for may make no progress while another one needs its connection or its
    /// memory.
    pub patience: Millis,
    /// Rate below which a body that arrives, or an answer that waits to be read, makes no progress, in bytes per second.
    pub min_rate: u64,
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of connections of one account.
    pub connections_per_account: u32,
    /// Maximum number of requests of one account in the queue of a service.
    pub queued_per_account: u32,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: 4 * MIB,
            head_timeout: Millis::from_secs(10),
            body_timeout: Millis::from_secs(15),
            write_timeout: Millis::from_secs(15),
            idle_timeout: Millis::from_secs(60),
            patience: Millis::from_secs(1),
            min_rate: 64 * 1024,
            connections: 4096,
            connections_per_account: 1024,
            queued_per_account: 1024,
        }
    }
}

/// The local settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance's id, as in the instance list.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators: health, metrics and status.
    pub operator: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// The platform's addresses, tried in turn.
    pub platform: Vec<SocketAddr>,
    /// Shared secret with which instances authenticate each other.
    pub peer_key: Secret,
    /// How long the outcome of a request with an idempotency key is kept. Must be the same on all
    /// instances.
    pub claim_window: Millis,
    /// Maximum number of instances that send requests to a backend server and poll it. Must be the
    /// same on all instances.
    pub senders: u32,
    /// Whether this is the first start of the fleet. Otherwise an instance that finds no peer with
    /// records rejects requests with an idempotency key for the length of the claim window, since
    /// an earlier fleet may have run them.
    pub first_start: bool,
    /// How long an instance keeps serving after its health check starts to fail during a planned
    /// stop, so that the load balancer can detect it.
    pub notice: Millis,
    /// How long a planned stop then waits for requests in progress.
    pub drain: Millis,
    /// Maximum memory of requests in progress, in bytes.
    pub memory: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            id: "entry-1".to_owned(),
            zone: "zone-a".to_owned(),
            listen: loopback(8080),
            operator: loopback(8081),
            peer: loopback(8082),
            platform: vec![loopback(8090)],
            peer_key: Secret::default(),
            claim_window: Millis::from_secs(600),
            senders: 8,
            first_start: false,
            notice: Millis::from_secs(5),
            drain: Millis::from_secs(120),
            memory: 192 * MIB,
            limits: CallerLimits::default(),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// All findings, by line.
    pub fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
        if text.len() > MAX_SETTINGS_BYTES {
            let message =
                format!("the settings are too long; write at most {MAX_SETTINGS_BYTES} bytes");
            return Err(vec![error(1, "", message)]);
        }
        let mut findings = Findings::default();
        let sections = source::parse(text, 1, "", &mut findings);
        let mut settings = Settings::default();
        report_duplicates(&sections, &mut findings);
        for name in ["instance", "platform", "peers"] {
            if !sections.iter().any(|s| s.header == name) {
                findings.push(error(1, name, "the section is missing; write it"));
            }
        }
        for section in &sections {
            settings.read(section, &mut findings);
        }
        settings.check_addresses(&sections, &mut findings);
        settings.check_memory(&sections, &mut findings);
        if findings.has_error() {
            return Err(findings.into_sorted());
        }
        Ok(settings)
    }

    fn read(&mut self, section: &Section, findings: &mut Findings) {
        let mut fields = Fields::new("", section, findings);
        match section.header.as_str() {
            "instance" => self.read_instance(&mut fields),
            "platform" => self.read_platform(&mut fields),
            "peers" => self.read_peers(&mut fields),
            "limits" => self.limits.read(&mut fields),
            _ => {
                findings.push(error(section.line, &section.header, UNKNOWN_SECTION));
                return;
            }
        }
        fields.finish();
    }

    fn read_instance(&mut self, fields: &mut Fields<'_>) {
        set(&mut self.id, fields.require("id", "entry-1", units::name));
        set(&mut self.zone, fields.require("zone", "ZONE", units::name));
        let listen = fields.require("listen", "10.0.0.1:8080", units::address);
        set(&mut self.listen, listen);
        let operator = fields.require("operator", "10.0.0.1:8081", units::address);
        set(&mut self.operator, operator);
        set(&mut self.notice, fields.take("notice", units::duration));
        set(&mut self.drain, fields.take("drain", units::duration));
        set(&mut self.memory, fields.take("memory", units::size));
        if self.memory < MIN_MEMORY_BYTES {
            fields.reject("memory", "the bound is too low; write at least 16 MiB");
        }
    }

    fn read_platform(&mut self, fields: &mut Fields<'_>) {
        let addresses = fields.require("addresses", "10.0.0.2:8090", |v| {
            units::list(v, units::address)
        });
        set(&mut self.platform, addresses);
    }

    fn read_peers(&mut self, fields: &mut Fields<'_>) {
        let listen = fields.require("listen", "10.0.0.1:8082", units::address);
        set(&mut self.peer, listen);
        let key = fields.require("key", "a secret of 32 characters or more", |v| {
            Ok(v.to_owned())
        });
        if key
            .as_ref()
            .is_some_and(|key| key.len() < MIN_PEER_KEY_LENGTH)
        {
            let message = "the key is too short; write at least 32 characters, \
                           such as `openssl rand -hex 32` prints";
            fields.reject("key", message);
        }
        set(&mut self.peer_key, key.map(Secret));
        let claim_window = fields.take("claim-window", units::duration);
        set(&mut self.claim_window, claim_window);
        let senders = |v: &str| -> Result<u32, ValueError> { units::count(v, 1, 10_000) };
        set(&mut self.senders, fields.take("senders", senders));
        set(
            &mut self.first_start,
            fields.take("first-start", units::flag),
        );
    }

    /// Checks that a body of maximum size takes at most a quarter of the memory limit. It is held
    /// twice while it is sent.
    fn check_memory(&self, sections: &[Section], findings: &mut Findings) {
        if self.memory < MIN_MEMORY_BYTES || self.limits.body_bytes <= self.memory / 4 {
            return;
        }
        let message = "a longest body doesn't fit into memory, where it is held twice; \
                       write at most a quarter of memory";
        let limits = sections.iter().find(|section| section.header == "limits");
        let with_body = limits.filter(|section| Fields::new("", section, findings).has("body"));
        let (section, key) = match with_body {
            Some(section) => (Some(section), "body"),
            None => (sections.iter().find(|s| s.header == "instance"), "memory"),
        };
        if let Some(section) = section {
            Fields::new("", section, findings).reject(key, message);
        }
    }

    /// Checks that the instance's own addresses are distinct.
    fn check_addresses(&self, sections: &[Section], findings: &mut Findings) {
        let addresses = [
            ("instance", "listen", self.listen),
            ("instance", "operator", self.operator),
            ("peers", "listen", self.peer),
        ];
        for (index, (section, key, address)) in addresses.iter().enumerate() {
            // Port 0 means any free port, a different one each time.
            let same = |other: &SocketAddr| other == address && address.port() != 0;
            let first = addresses[..index].iter().find(|(_, _, other)| same(other));
            let Some((_, other_key, _)) = first else {
                continue;
            };
            let Some(section) = sections.iter().find(|s| s.header == *section) else {
                continue;
            };
            let mut fields = Fields::new("", section, findings);
            if fields.has(key) {
                let message = format!("{address} is the address of {other_key} too; write another");
                fields.reject(key, message);
            }
        }
    }
}

impl CallerLimits {
    fn read(&mut self, fields: &mut Fields<'_>) {
        set(&mut self.head_bytes, fields.take("head", units::size));
        if self.head_bytes > MAX_HEAD_BYTES {
            fields.reject("head", "no longer head can be read; write at most 8 KB");
        }
        set(&mut self.body_bytes, fields.take("body", units::size));
        set(&mut self.min_rate, fields.take("min-rate", units::size));
        let timeouts = [
            ("head-timeout", &mut self.head_timeout),
            ("body-timeout", &mut self.body_timeout),
            ("write-timeout", &mut self.write_timeout),
            ("idle", &mut self.idle_timeout),
            ("patience", &mut self.patience),
        ];
        for (key, slot) in timeouts {
            set(slot, fields.take(key, units::duration));
        }
        let count = |v: &str| -> Result<u32, ValueError> { units::count(v, 1, 1_000_000) };
        set(&mut self.connections, fields.take("connections", count));
        set(
            &mut self.connections_per_account,
            fields.take("connections-per-account", count),
        );
        set(
            &mut self.queued_per_account,
            fields.take("queued-per-account", count),
        );
        if self.connections_per_account > self.connections {
            let message = "one account may hold more connections than there are in all; \
                           write at most the value of connections";
            fields.reject("connections-per-account", message);
        }
    }
}

fn set<T>(slot: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *slot = value;
    }
}

fn report_duplicates(sections: &[Section], findings: &mut Findings) {
    for (index, section) in sections.iter().enumerate() {
        let earlier = &sections[..index];
        if let Some(first) = earlier.iter().find(|s| s.header == section.header) {
            let message = format!(
                "the section is already on line {}; write it once",
                first.line
            );
            findings.push(error(section.line, &section.header, message));
        }
    }
}

fn error(line: usize, section: &str, message: impl Into<String>) -> Finding {
    Finding {
        team: String::new(),
        line,
        section: section.to_owned(),
        key: String::new(),
        severity: Severity::Error,
        message: message.into(),
    }
}
