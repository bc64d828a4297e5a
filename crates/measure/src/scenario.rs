//! Traffic scenarios: request classes, their share of the load, and the configuration text.

use std::fmt::Write;
use std::net::SocketAddr;

use crocushold_config::KeyDigest;
use crocushold_standins::LengthDistribution;
use crocushold_standins::load::RequestKind as LoadRequestKind;
use crocushold_standins::load::Targets;

/// Requests of a class.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RequestKind {
    /// Completions of a model.
    Model {
        /// Share of the engines' capacity that the class requests at a demand level of 1.
        token_share: f64,
        /// Range of response lengths in tokens.
        output: LengthDistribution,
        /// Length of the prompt in bytes.
        prompt_bytes: u32,
        /// Whether responses are streamed.
        stream: bool,
    },
    /// Calls to the plain service.
    Plain {
        /// Calls per second at a demand level of 1.
        rate: f64,
        /// Path of the call.
        path: &'static str,
    },
}

/// A request class.
#[derive(Clone, Debug)]
pub(crate) struct ClassSpec {
    /// Name.
    pub(crate) name: &'static str,
    /// Client account that sends the requests.
    pub(crate) account: &'static str,
    /// Priority; 1 is the highest, for interactive traffic.
    pub(crate) priority: u8,
    /// Guaranteed share in percent.
    pub(crate) floor: u32,
    /// Whether a request may run more than once.
    pub(crate) idempotent: bool,
    /// Latency targets.
    pub(crate) targets: Targets,
    /// Client timeout in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Kind and volume of its requests.
    pub(crate) request_kind: RequestKind,
}

/// A fleet and its traffic.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Name, used as a heading and in file names.
    pub(crate) name: &'static str,
    /// Team that owns the configuration text.
    pub(crate) team: &'static str,
    /// Name of the service that the engines belong to.
    pub(crate) model_service: &'static str,
    /// Name of the plain service.
    pub(crate) plain_service: &'static str,
    /// Path prefix of the plain service.
    pub(crate) plain_prefix: &'static str,
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// Number of engines.
    pub(crate) engines: usize,
    /// Concurrent requests per engine: its batch limit.
    pub(crate) concurrency: usize,
    /// Number of entry instances.
    pub(crate) instances: usize,
    /// Classes; the last one with model requests has the lowest priority among those.
    pub(crate) classes: Vec<ClassSpec>,
}

/// The model that all engines serve.
pub(crate) const MODEL: &str = "clara-8b";

/// Concurrent requests per engine in the policy measurement.
pub(crate) const ENGINE_CONCURRENCY: usize = 16;

/// Timeout of clients that wait until the measurement ends, in milliseconds.
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

/// Evening peak of an interactive chat, with drafts and a nightly batch at lower priority.
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
                    output: LengthDistribution { low: 16, high: 80 },
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
                    output: LengthDistribution { low: 30, high: 160 },
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
                    output: LengthDistribution { low: 60, high: 360 },
                    prompt_bytes: 1600,
                    stream: true,
                },
            },
            plain_class("lookup", true, 300, 20.0, "/booking/slots"),
            plain_class("confirm", false, 1_000, 6.0, "/booking/confirmations"),
        ],
    }
}

/// A portal shortly before a filing deadline, with receipt processing and batch jobs at lower
/// priority.
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
                    output: LengthDistribution { low: 16, high: 64 },
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
                    output: LengthDistribution { low: 24, high: 120 },
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
                    output: LengthDistribution { low: 60, high: 360 },
                    prompt_bytes: 1600,
                    stream: true,
                },
            },
            plain_class("filing", false, 1_000, 10.0, "/doklad/filings"),
        ],
    }
}

/// Streams of one class through one instance, to measure the instance's own overhead.
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
                output: LengthDistribution::fixed(1),
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
    /// Form of the requests that the load generator sends.
    pub(crate) fn form(&self) -> LoadRequestKind {
        match self.request_kind {
            RequestKind::Model { .. } => LoadRequestKind::Chat,
            RequestKind::Plain { .. } => LoadRequestKind::Call,
        }
    }

    /// API key of the class's account.
    pub(crate) fn api_key(&self, team: &str) -> String {
        format!("{team}.{}", self.account)
    }
}

impl Scenario {
    /// Index of the model class with the lowest priority.
    pub(crate) fn lowest_model_class(&self) -> usize {
        let model = |class: &ClassSpec| matches!(class.request_kind, RequestKind::Model { .. });
        self.classes.iter().rposition(model).unwrap_or(0)
    }

    /// Configuration text for engines and a plain service at the given addresses.
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
