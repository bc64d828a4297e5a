//! Test doubles for the systems that crocushold communicates with in production: the platform's
//! configuration service and instance list, model engines, plain services, and clients. Never
//! shipped.
//!
//! Each stand-in listens on its own port on 127.0.0.1 and injects faults on command. Tests in the
//! same process control it through a [`Handle`]; a separate process (the binary
//! `crocushold-standin`) accepts the same commands as JSON on `POST /control` and returns its
//! counters on `GET /control/stats`. Both the public listener and a second control listener serve
//! these paths; the control listener stays up while the public one is down, frozen or crashed.
//!
//! * [`Platform`]: configuration index, parts, watch and instance list, with a read budget.
//! * [`Engine`]: a model engine with continuous batching, a prefix cache and streamed responses.
//! * [`PlainService`]: accepts any method and path and counts side effects by idempotency key.
//! * [`Flood`]: an answer that never ends.
//! * [`load`]: an open-loop load generator that records what clients observe.
//!
//! # Commands
//!
//! A command is a JSON object whose `kind` is the variant of [`PlatformCommand`], [`EngineCommand`]
//! or [`ServiceCommand`] in kebab case:
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
//! Send commands that close the public listener to the control address: on the public listener the
//! response to the command is cut off as well.
//!
//! # Markers
//!
//! A request is identified by the body field `user`, or by the header `x-marker` if the field is
//! absent. Each token of the response contains this marker and the token's index.
//! `GET /control/runs` returns how often each marker ran. The body field `target_tokens` sets the
//! length of a response, up to `max_tokens`; the router doesn't know this field.

mod engine;
mod flood;
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
pub use flood::Flood;
pub use flood::Pace;
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
