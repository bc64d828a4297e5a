//! The two users' traffic: classes, their part of the demand, and the configuration text.

use std::fmt::Write;
use std::net::SocketAddr;

use crocushold_config::KeyDigest;
use crocushold_standins::Lengths;
use crocushold_standins::load::Form;
use crocushold_standins::load::Targets;

/// What a class asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestKind {
    /// Answers of a model.
    Model {
        /// Part of the fleet's tokens at a demand of 1.
        token_share: f64,
        /// Lengths of answers in tokens.
        output: Lengths,
        /// Bytes of the prompt.
        prompt_bytes: u32,
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
pub(crate) struct ClassSpec {
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
    pub(crate) request_kind: RequestKind,
}

/// One user's fleet and traffic.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Name, as a heading and in file names.
    pub(crate) name: &'static str,
    /// Team of the configuration text.
    pub(crate) team: &'static str,
    /// Service of the engines.
    pub(crate) model_service: &'static str,
    /// Plain service.
    pub(crate) plain_service: &'static str,
    /// Prefix of the plain service.
    pub(crate) plain_prefix: &'static str,
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// Engines.
    pub(crate) engines: usize,
    /// Requests that an engine runs at once: the limit of its batch.
    pub(crate) concurrency: usize,
    /// Entry instances.
    pub(crate) instances: usize,
    /// Classes; the last of those that ask a model is the lowest.
    pub(crate) classes: Vec<ClassSpec>,
}

/// The model that all engines hold.
pub(crate) const MODEL: &str = "clara-8b";

/// Requests that an engine of a measurement of the policy runs at once.
pub(crate) const ENGINE_CONCURRENCY: usize = 16;

/// A caller that waits as long as the measurement lasts.
const BACKGROUND_TIMEOUT_MS: u64 = 600_000;

fn streaming_targets(first_ms: u64, between_ms: u64) -> Targets {
    Targets {
        first_ms: Some(first_ms),
        between_ms: Some(between_ms),
        whole_ms: None,
    }
}

fn whole_answer_target(ms: u64) -> Targets {
    Targets {
        whole_ms: Some(ms),
        ..Targets::default()
    }
}

/// Parents' chat in the evening, with drafts and the nightly prep sheets behind it.
pub(crate) fn evening_rush() -> Scenario {
    Scenario {
        name: "evening-rush",
        team: "clara",
        model_service: "model-fleet",
        plain_service: "booking-api",
        plain_prefix: "/booking",
        zones: &["stgo-a", "stgo-b", "stgo-c", "stgo-d"],
        engines: 12,
        concurrency: ENGINE_CONCURRENCY,
        instances: 4,
        classes: vec![
            ClassSpec {
                name: "chat",
                account: "parents",
                priority: 1,
                floor: 30,
                idempotent: true,
                targets: streaming_targets(350, 80),
                timeout_ms: 5_000,
                request_kind: RequestKind::Model {
                    token_share: 0.2,
                    output: Lengths { low: 16, high: 80 },
                    prompt_bytes: 400,
                    stream: true,
                },
            },
            ClassSpec {
                name: "drafts",
                account: "parents",
                priority: 3,
                floor: 10,
                idempotent: true,
                targets: whole_answer_target(5_000),
                timeout_ms: 20_000,
                request_kind: RequestKind::Model {
                    token_share: 0.3,
                    output: Lengths { low: 30, high: 160 },
                    prompt_bytes: 800,
                    stream: false,
                },
            },
            ClassSpec {
                name: "nightly",
                account: "sheets",
                priority: 5,
                floor: 5,
                idempotent: true,
                targets: whole_answer_target(20 * 60_000),
                timeout_ms: BACKGROUND_TIMEOUT_MS,
                request_kind: RequestKind::Model {
                    token_share: 0.5,
                    output: Lengths { low: 60, high: 360 },
                    prompt_bytes: 1600,
                    stream: true,
                },
            },
            plain_class("lookup", true, 300, 20.0, "/booking/slots"),
            plain_class("confirm", false, 1_000, 6.0, "/booking/confirmations"),
        ],
    }
}

/// The subsidy office's portal at its deadline, with receipts and accountants' batches behind it.
pub(crate) fn subsidy_deadline() -> Scenario {
    Scenario {
        name: "subsidy-deadline",
        team: "agrodoklad",
        model_service: "ctecka-llm",
        plain_service: "doklad-api",
        plain_prefix: "/doklad",
        zones: &["hala-lisen", "hala-slatina", "hala-komarov"],
        engines: 10,
        concurrency: ENGINE_CONCURRENCY,
        instances: 3,
        classes: vec![
            ClassSpec {
                name: "portal",
                account: "parents",
                priority: 1,
                floor: 30,
                idempotent: true,
                targets: whole_answer_target(3_000),
                timeout_ms: 8_000,
                request_kind: RequestKind::Model {
                    token_share: 0.2,
                    output: Lengths { low: 16, high: 64 },
                    prompt_bytes: 600,
                    stream: false,
                },
            },
            ClassSpec {
                name: "receipts",
                account: "parents",
                priority: 2,
                floor: 10,
                idempotent: true,
                targets: whole_answer_target(5_000),
                timeout_ms: 12_000,
                request_kind: RequestKind::Model {
                    token_share: 0.3,
                    output: Lengths { low: 24, high: 120 },
                    prompt_bytes: 1200,
                    stream: false,
                },
            },
            ClassSpec {
                name: "batches",
                account: "sheets",
                priority: 4,
                floor: 10,
                idempotent: true,
                targets: whole_answer_target(60 * 60_000),
                timeout_ms: BACKGROUND_TIMEOUT_MS,
                request_kind: RequestKind::Model {
                    token_share: 0.5,
                    output: Lengths { low: 60, high: 360 },
                    prompt_bytes: 1600,
                    stream: true,
                },
            },
            plain_class("filing", false, 1_000, 10.0, "/doklad/filings"),
        ],
    }
}

/// Streams of one live class through one instance, to measure what the instance itself costs.
pub(crate) fn relay_streams() -> Scenario {
    Scenario {
        name: "relay",
        team: "clara",
        model_service: "model-fleet",
        plain_service: "booking-api",
        plain_prefix: "/booking",
        zones: &["stgo-a"],
        engines: 4,
        concurrency: 1000,
        instances: 1,
        classes: vec![ClassSpec {
            name: "chat",
            account: "parents",
            priority: 1,
            floor: 30,
            idempotent: true,
            targets: streaming_targets(350, 80),
            timeout_ms: BACKGROUND_TIMEOUT_MS,
            request_kind: RequestKind::Model {
                token_share: 1.0,
                output: Lengths::fixed(1),
                prompt_bytes: 400,
                stream: true,
            },
        }],
    }
}

fn plain_class(
    name: &'static str,
    idempotent: bool,
    target: u64,
    rate: f64,
    path: &'static str,
) -> ClassSpec {
    ClassSpec {
        name,
        account: "parents",
        priority: 1,
        floor: 20,
        idempotent,
        targets: whole_answer_target(target),
        timeout_ms: 5_000,
        request_kind: RequestKind::Plain { rate, path },
    }
}

impl ClassSpec {
    /// The kind of call.
    pub(crate) fn form(&self) -> Form {
        match self.request_kind {
            RequestKind::Model { .. } => Form::Chat,
            RequestKind::Plain { .. } => Form::Call,
        }
    }

    /// The key of the class's account.
    pub(crate) fn api_key(&self, team: &str) -> String {
        format!("{team}.{}", self.account)
    }
}

impl Scenario {
    /// The lowest class of the engines.
    pub(crate) fn lowest_model_class(&self) -> usize {
        let model = |class: &ClassSpec| matches!(class.request_kind, RequestKind::Model { .. });
        self.classes.iter().rposition(model).unwrap_or(0)
    }

    /// The configuration text for engines and a plain service at these addresses.
    pub(crate) fn config_text(&self, engines: &[SocketAddr], service: SocketAddr) -> String {
        let mut out = String::new();
        self.write_config(&mut out, engines, service)
            .expect("writing to a string never fails");
        out
    }

    fn write_config(
        &self,
        out: &mut String,
        engines: &[SocketAddr],
        service: SocketAddr,
    ) -> std::fmt::Result {
        let Scenario {
            model_service,
            concurrency,
            ..
        } = self;
        writeln!(out, "[team {}]\nformat = 1\n", self.team)?;
        writeln!(
            out,
            "[service {model_service}]\nkind = model\nconcurrency = {concurrency}\n"
        )?;
        let count = engines.len();
        writeln!(
            out,
            "[model {model_service}/{MODEL}]\nweights = 16 GB\nservers = {count}\n"
        )?;
        for (number, address) in engines.iter().enumerate() {
            let zone = self.zones[number % self.zones.len()];
            writeln!(
                out,
                "[server {model_service}/runner-{number}]\naddress = {address}\nzone = {zone}\n"
            )?;
        }
        let Scenario {
            plain_service: name,
            plain_prefix,
            ..
        } = self;
        writeln!(
            out,
            "[service {name}]\nkind = plain\nprefix = {plain_prefix}\n"
        )?;
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

    fn write_class(&self, out: &mut String, class: &ClassSpec) -> std::fmt::Result {
        let ClassSpec {
            name,
            priority,
            floor,
            ..
        } = class;
        let service = match class.request_kind {
            RequestKind::Model { .. } => self.model_service,
            RequestKind::Plain { .. } => self.plain_service,
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
        if let RequestKind::Plain { path, .. } = class.request_kind {
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
