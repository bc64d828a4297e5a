//! Decides whether a failed attempt may be retried.

mod attempt;
mod budget;
mod policy;

pub use attempt::Attempt;
pub use attempt::Permit;
pub use attempt::Sent;
pub use attempt::Unsent;
pub use budget::Budget;
pub use budget::BudgetSettings;
pub use policy::Decision;
pub use policy::Ran;
pub use policy::RequestFacts;
pub use policy::RetryPolicy;
pub use policy::RetrySettings;
pub use policy::Stage;
