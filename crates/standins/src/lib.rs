//! Small stand-ins for everything that crocushold meets in production: the platform's configuration
//! service and instance list, model engines, plain services, and callers. Never shipped.
//!
//! Each stand-in listens on a port of its own on 127.0.0.1 and is commanded to fail in the ways that
//! the real thing fails. A test in the same process holds a [`Handle`]; a separate process (the
//! binary `crocushold-standin`) takes the same commands as JSON on `POST /control` and shows its
//! counters on `GET /control/stats`. Both listeners answer those two paths: the stand-in's own, and
//! a second one that stays up while the first is down, frozen or crashed.
//!
//! * [`Platform`]: configuration index, parts, watch and instance list, within a read budget.
//! * [`Engine`]: a model engine with continuous batching, a prefix cache and streamed answers.
//! * [`PlainService`]: any method and path, with a counter of effects by idempotency key.
//! * [`load`]: an open-loop load generator that records what callers would see.
//!
//! # Commands
//!
//! A command is one JSON object; its `kind` names the variant of [`PlatformCommand`],
//! [`EngineCommand`] or [`ServiceCommand`] in kebab case:
//!
//! ```text
//! platform  {"kind": "part", "team": "clara", "text": "[class chat]\n"}
//!           {"kind": "instance-state", "id": "runner-1", "state": "leaving"}
//!           {"kind": "go-back", "revision": 3}
//! engine    {"kind": "cut", "cut": {"after": 3, "form": "length", "times": 1}}
//!           {"kind": "slow", "factor": 4.0}
//! service   {"kind": "fault", "fault": "drop-after", "times": 1}
//! ```
//!
//! A command that closes the public listener is best sent to the control address: on the public one
//! its own answer is cut too.
//!
//! # Markers
//!
//! A request names itself by the body field `user`, or else by the header `x-marker`; every token of
//! its answer repeats the marker and the token's number. `GET /control/runs` tells how often each
//! marker ran. The body field `target_tokens` fixes the length of an answer without the router's
//! knowledge, up to `max_tokens`.

mod engine;
mod gate;
mod handle;
pub mod load;
mod platform;
mod port;
mod reply;
mod service;

pub use engine::Batch;
pub use engine::BatchSettings;
pub use engine::Cancellation;
pub use engine::Cut;
pub use engine::CutFraming;
pub use engine::Engine;
pub use engine::EngineCommand;
pub use engine::EngineSettings;
pub use engine::EngineStats;
pub use engine::Job;
pub use engine::JobId;
pub use engine::LengthDistribution;
pub use engine::OrderRecord;
pub use engine::StepResult;
pub use engine::prefix_hash;
pub use handle::Handle;
pub use handle::Standin;
pub use platform::Instance;
pub use platform::InstanceState;
pub use platform::Platform;
pub use platform::PlatformCommand;
pub use platform::PlatformSettings;
pub use platform::PlatformStats;
pub use platform::Role;
pub use port::Call;
pub use port::PortAction;
pub use service::PlainService;
pub use service::ServiceCommand;
pub use service::ServiceFault;
pub use service::ServiceSettings;
pub use service::ServiceStats;
