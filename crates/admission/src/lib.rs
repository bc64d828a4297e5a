//! Admission control, scheduling and limits as pure state machines.
//!
//! One [`Scheduler`] serves one service on one entry instance. It does no I/O and reads no clock:
//! the caller passes in events with their time and carries out the actions that are returned.
//!
//! ```text
//! submit ──> queued ──next──> Ticket<Dispatched> ──sent──> Ticket<Sent> ──finish──> done
//!    │          │                  │                            │
//!    │          └─next: Refuse     └─requeue (same position)    └─not_run: may be sent elsewhere
//!    └─ Admission::Refused
//! ```
//!
//! The slots of a scheduler are interchangeable. Where the engines of one service load different
//! models, run one scheduler for each model; otherwise a request whose model has no free engine
//! blocks others that could start. Account limits apply to each scheduler separately; see
//! [`Scheduler::set_share`].
//!
//! The scheduler decides:
//!
//! * **Which requests are queued.** Account rate limits, bounds on queue length and memory, and a
//!   predicted wait. A request that can't start in time is refused immediately, with a retry-after
//!   time. See [`Scheduler::submit`].
//! * **Which request runs next.** Strict priority between tiers, with a guaranteed share of tokens
//!   (floor) for each class; earliest deadline first between the classes of a tier; fair queuing by
//!   tokens between the accounts of a class. See [`Scheduler::next`].
//! * **Which request is evicted from a full queue.** Queued requests of the lowest-priority tier
//!   first; running requests never.
//!
//! A [`Line`] is the queue of a gateway's placer: it orders the requests of all instances before the
//! engines, with a scheduler for each group of interchangeable engines.
//!
//! After every call the driver must call [`Scheduler::next`] until it returns `None`, and again at
//! [`Scheduler::wake_at`]. `next` returns refusals before any dispatch, so an instance that was
//! suspended answers overdue requests before it starts others.
//!
//! # Examples
//!
//! ```
//! use crocushold_admission::AccountSpec;
//! use crocushold_admission::Action;
//! use crocushold_admission::Admission;
//! use crocushold_admission::Arrival;
//! use crocushold_admission::ClassSpec;
//! use crocushold_admission::Completion;
//! use crocushold_admission::Scheduler;
//! use crocushold_admission::Settings;
//! use crocushold_base::AccountKey;
//! use crocushold_base::ClassKey;
//! use crocushold_base::Millis;
//! use slotmap::SlotMap;
//!
//! // The keys come from the arenas that hold the configuration.
//! let class = SlotMap::<ClassKey, ()>::with_key().insert(());
//! let account = SlotMap::<AccountKey, ()>::with_key().insert(());
//! let chat = ClassSpec { key: class, target: Millis(2000), ..ClassSpec::default() };
//! let school = AccountSpec { key: account, ..AccountSpec::default() };
//!
//! let mut scheduler = Scheduler::new(Settings::default());
//! scheduler.configure(&[chat], &[school], Millis(0));
//!
//! let arrival = Arrival { class, account, prompt_tokens: 300, ..Arrival::default() };
//! let admission = scheduler.submit(&arrival, Millis(10));
//! assert!(matches!(admission, Admission::Queued(_)));
//!
//! let Some(Action::Dispatch(ticket)) = scheduler.next(Millis(11), 4) else {
//!     panic!("a slot is free");
//! };
//! // A backend server was found. Once sent, the request can't be queued again.
//! let ticket = ticket.sent();
//! scheduler.progress(&ticket, 1, Millis(150));
//! let completion = Completion { output: 80, complete: true };
//! let settlement = scheduler.finish(ticket, completion, Millis(1800)).expect("it was running");
//! assert_eq!(settlement.queue_time, Millis(1));
//! ```

mod account;
mod bucket;
mod class;
mod class_index;
mod decay;
mod flow;
mod headroom;
mod histogram;
mod line;
mod refusal;
mod request;
mod scheduler;
mod settings;
mod spec;
mod status;
mod throughput;
mod ticket;

pub use line::Line;
pub use line::LineArrival;
pub use line::LineEnd;
pub use line::LineGroupKey;
pub use line::LineRefusal;
pub use line::LineRefusals;
pub use line::LineReturns;
pub use line::LineScope;
pub use line::LineSettings;
pub use line::LineStatus;
pub use line::LineStep;
pub use line::WaiterKey;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use refusal::Refused;
pub use request::Arrival;
pub use scheduler::Action;
pub use scheduler::Admission;
pub use scheduler::Cancelled;
pub use scheduler::Completion;
pub use scheduler::Scheduler;
pub use scheduler::Settlement;
pub use settings::HeadroomSettings;
pub use settings::Settings;
pub use spec::AccountSpec;
pub use spec::ClassSpec;
pub use spec::MAX_TIERS;
pub use status::ClassStatus;
pub use status::Status;
pub use ticket::Dispatched;
pub use ticket::NotRun;
pub use ticket::RetryPermit;
pub use ticket::Sent;
pub use ticket::Ticket;
