//! The two users' traffic: classes, their part of the demand, and the configuration text.

use std::fmt::Write;
use std::net::SocketAddr;

use crocushold_config::KeyDigest;
use crocushold_standins::LengthDistribution;
use crocushold_standins::load::RequestKind;
use crocushold_standins::load::Targets;

/// What a class asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// Answers of a model.
    Model {
        /// Part of the fleet's tokens at a demand of 1.
        part: f64,
        /// Lengths of answers in tokens.
        output: LengthDistribution,
        /// Bytes of the prompt.
        prompt: u32,
        /// Whether answers are streamed.
        stream: bool,
    },
    /// Calls of a plain service.
    Plain {
        /// Calls in a second at a demand of 1.
        rate: f64,
        /// Path of the call.
        path: &'static str,
    },
}

/// One class of requests.
#[derive(Clone, Debug)]
pub(crate) struct ClassShape {
    /// Name.
    pub(crate) name: &'static str,
    /// Account that sends it.
    pub(crate) account: &'static str,
    /// Priority; 1 is the live class.
    pub(crate) priority: u8,
    /// Guaranteed share in percent.
    pub(crate) floor: u32,
    /// Whether it may run twice.
    pub(crate) idempotent: bool,
    /// Latency targets.
    pub(crate) targets: Targets,
    /// When its caller gives up.
    pub(crate) timeout_ms: u64,
    /// What it asks for.
    pub(crate) work: Work,
}

/// One user's fleet and traffic.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Name, as a heading and in file names.
    pub(crate) name: &'static str,
    /// Team of the configuration text.
    pub(crate) team: &'static str,
    /// Service of the engines.
    pub(crate) fleet: &'static str,
    /// Plain service.
    pub(crate) service: &'static str,
    /// Prefix of the plain service.
    pub(crate) prefix: &'static str,
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// Engines.
    pub(crate) engines: usize,
    /// Requests that an engine runs at once: the limit of its batch.
    pub(crate) concurrency: usize,
    /// Entry instances.
    pub(crate) instances: usize,
    /// Classes; the last of those that ask a model is the lowest.
    pub(crate) classes: Vec<ClassShape>,
}

/// The model that all engines hold.
pub(crate) const MODEL: &str = "clara-8b";

/// Requests that an engine of a measurement of the policy runs at once.
pub(crate) const CONCURRENCY: usize = 16;

/// A caller that waits as long as the measurement lasts.
const PATIENT: u64 = 600_000;

fn first_and_gap(first_ms: u64, between_ms: u64) -> Targets {
    Targets {
        first_ms: Some(first_ms),
        between_ms: Some(between_ms),
        whole_ms: None,
    }
}

fn whole(ms: u64) -> Targets {
    Targets {
        whole_ms: Some(ms),
        ..Targets::default()
    }
}

/// Parents' chat in the evening, with drafts and the nightly prep sheets behind it.
pub(crate) fn evening() -> Shape {
    Shape {
        name: "evening-rush",
        team: "clara",
        fleet: "model-fleet",
        service: "booking-api",
        prefix: "/booking",
        zones: &["stgo-a", "stgo-b", "stgo-c", "stgo-d"],
        engines: 12,
        concurrency: CONCURRENCY,
        instances: 4,
        classes: vec![
            ClassShape {
                name: "chat",
                account: "parents",
                priority: 1,
                floor: 30,
                idempotent: true,
                targets: first_and_gap(350, 80),
                timeout_ms: 5_000,
                work: Work::Model {
                    part: 0.2,
                    output: LengthDistribution { low: 16, high: 80 },
                    prompt: 400,
                    stream: true,
                },
            },
            ClassShape {
                name: "drafts",
                account: "parents",
                priority: 3,
                floor: 10,
                idempotent: true,
                targets: whole(5_000),
                timeout_ms: 20_000,
                work: Work::Model {
                    part: 0.3,
                    output: LengthDistribution { low: 30, high: 160 },
                    prompt: 800,
                    stream: false,
                },
            },
            ClassShape {
                name: "nightly",
                account: "sheets",
                priority: 5,
                floor: 5,
                idempotent: true,
                targets: whole(20 * 60_000),
                timeout_ms: PATIENT,
                work: Work::Model {
                    part: 0.5,
                    output: LengthDistribution { low: 60, high: 360 },
                    prompt: 1600,
                    stream: true,
                },
            },
            plain("lookup", true, 300, 20.0, "/booking/slots"),
            plain("confirm", false, 1_000, 6.0, "/booking/confirmations"),
        ],
    }
}

/// The subsidy office's portal at its deadline, with receipts and accountants' batches behind it.
pub(crate) fn subsidy() -> Shape {
    Shape {
        name: "subsidy-deadline",
        team: "agrodoklad",
        fleet: "ctecka-llm",
        service: "doklad-api",
        prefix: "/doklad",
        zones: &["hala-lisen", "hala-slatina", "hala-komarov"],
        engines: 10,
        concurrency: CONCURRENCY,
        instances: 3,
        classes: vec![
            ClassShape {
                name: "portal",
                account: "parents",
                priority: 1,
                floor: 30,
                idempotent: true,
                targets: whole(3_000),
                timeout_ms: 8_000,
                work: Work::Model {
                    part: 0.2,
                    output: LengthDistribution { low: 16, high: 64 },
                    prompt: 600,
                    stream: false,
                },
            },
            ClassShape {
                name: "receipts",
                account: "parents",
                priority: 2,
                floor: 10,
                idempotent: true,
                targets: whole(5_000),
                timeout_ms: 12_000,
                work: Work::Model {
                    part: 0.3,
                    output: LengthDistribution { low: 24, high: 120 },
                    prompt: 1200,
                    stream: false,
                },
            },
            ClassShape {
                name: "batches",
                account: "sheets",
                priority: 4,
                floor: 10,
                idempotent: true,
                targets: whole(60 * 60_000),
                timeout_ms: PATIENT,
                work: Work::Model {
                    part: 0.5,
                    output: LengthDistribution { low: 60, high: 360 },
                    prompt: 1600,
                    stream: true,
                },
            },
            plain("filing", false, 1_000, 10.0, "/doklad/filings"),
        ],
    }
}

/// Streams of one live class through one instance, to measure what the instance itself costs.
pub(crate) fn streams() -> Shape {
    Shape {
        name: "relay",
        team: "clara",
        fleet: "model-fleet",
        service: "booking-api",
        prefix: "/booking",
        zones: &["stgo-a"],
        engines: 4,
        concurrency: 1000,
        instances: 1,
        classes: vec![ClassShape {
            name: "chat",
            account: "parents",
            priority: 1,
            floor: 30,
            idempotent: true,
            targets: first_and_gap(350, 80),
            timeout_ms: PATIENT,
            work: Work::Model {
                part: 1.0,
                output: LengthDistribution::fixed(1),
                prompt: 400,
                stream: true,
            },
        }],
    }
}

fn plain(
    name: &'static str,
    idempotent: bool,
    target: u64,
    rate: f64,
    path: &'static str,
) -> ClassShape {
    ClassShape {
        name,
        account: "parents",
        priority: 1,
        floor: 20,
        idempotent,
        targets: whole(target),
        timeout_ms: 5_000,
        work: Work::Plain { rate, path },
    }
}

impl ClassShape {
    /// The kind of call.
    pub(crate) fn form(&self) -> RequestKind {
        match self.work {
            Work::Model { .. } => RequestKind::Chat,
            Work::Plain { .. } => RequestKind::Call,
        }
    }

    /// The key of the class's account.
    pub(crate) fn key(&self, team: &str) -> String {
        format!("{team}.{}", self.account)
    }
}

impl Shape {
    /// The lowest class of the engines.
    pub(crate) fn lowest(&self) -> usize {
        let model = |class: &ClassShape| matches!(class.work, Work::Model { .. });
        self.classes.iter().rposition(model).unwrap_or(0)
    }

    /// The configuration text for engines and a plain service at these addresses.
    pub(crate) fn text(&self, engines: &[SocketAddr], service: SocketAddr) -> String {
        let mut out = String::new();
        self.write_text(&mut out, engines, service)
            .expect("writing to a string never fails");
        out
    }

    fn write_text(
        &self,
        out: &mut String,
        engines: &[SocketAddr],
        service: SocketAddr,
    ) -> std::fmt::Result {
        let Shape {
            fleet, concurrency, ..
        } = self;
        writeln!(out, "[team {}]\nformat = 1\n", self.team)?;
        writeln!(
            out,
            "[service {fleet}]\nkind = model\nconcurrency = {concurrency}\n"
        )?;
        let count = engines.len();
        writeln!(
            out,
            "[model {fleet}/{MODEL}]\nweights = 16 GB\nservers = {count}\n"
        )?;
        for (number, address) in engines.iter().enumerate() {
            let zone = self.zones[number % self.zones.len()];
            writeln!(
                out,
                "[server {fleet}/runner-{number}]\naddress = {address}\nzone = {zone}\n"
            )?;
        }
        let Shape {
            service: name,
            prefix,
            ..
        } = self;
        writeln!(out, "[service {name}]\nkind = plain\nprefix = {prefix}\n")?;
        let zone = self.zones[0];
        writeln!(
            out,
            "[server {name}/one]\naddress = {service}\nzone = {zone}\n"
        )?;
        for class in &self.classes {
            self.write_class(out, class)?;
        }
        for account in ["parents", "sheets"] {
            if self.classes.iter().any(|class| class.account == account) {
                self.write_account(out, account)?;
            }
        }
        Ok(())
    }

    fn write_class(&self, out: &mut String, class: &ClassShape) -> std::fmt::Result {
        let ClassShape {
            name,
            priority,
            floor,
            ..
        } = class;
        let service = match class.work {
            Work::Model { .. } => self.fleet,
            Work::Plain { .. } => self.service,
        };
        writeln!(
            out,
            "[class {name}]\nservice = {service}\npriority = {priority}\nfloor = {floor} %"
        )?;
        let targets = [
            ("first-token", class.targets.first_ms),
            ("between-tokens", class.targets.between_ms),
            ("whole-answer", class.targets.whole_ms),
        ];
        for (key, target) in targets {
            if let Some(ms) = target {
                writeln!(out, "{key} = {ms} ms")?;
            }
        }
        if let Work::Plain { path, .. } = class.work {
            writeln!(out, "calls = POST {path}")?;
        }
        let idempotent = if class.idempotent { "yes" } else { "no" };
        writeln!(out, "idempotent = {idempotent}\n")
    }

    fn write_account(&self, out: &mut String, account: &str) -> std::fmt::Result {
        let digest = KeyDigest::of(&format!("{}.{account}", self.team));
        let own = self.classes.iter().filter(|class| class.account == account);
        let names: Vec<&str> = own.map(|class| class.name).collect();
        let classes = names.join(", ");
        writeln!(
            out,
            "[account {account}]\nkey-sha256 = {digest}\nclasses = {classes}\n\
             requests = 100000/s\ntokens = 10000000/s\nconcurrency = 10000\n"
        )
    }
}
