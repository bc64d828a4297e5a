//! Burn rates of the error budget over a short and a long window.
//!
//! The burn rate of a window is the share of missed requests divided by the error budget, which is
//! the share of requests that may miss under the objective. A rule fires when *both* its windows
//! reach its burn rate: the long window shows that the misses are significant, the short one that
//! they continue.

use serde::Serialize;

use crate::window::Window;

mod report;
mod scrape;
mod table;

pub use report::BurnReport;
pub use report::ClassBurn;
pub use report::Finding;
pub use report::PairBurn;
pub use report::Problem;
pub use report::WindowBurn;
pub use scrape::Scrape;

/// The burn rate that spends exactly the error budget.
const SUSTAINABLE_BURN_RATE: f64 = 1.0;

/// The severity of the burn rate of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// No rule fires.
    Fine,
    /// The budget will be exhausted within days, which justifies a ticket.
    Ticket,
    /// The budget will be exhausted within hours, which justifies paging an operator.
    Page,
}

impl Severity {
    /// The word shown in the table.
    pub const fn label(self) -> &'static str {
        match self {
            Severity::Fine => "fine",
            Severity::Ticket => "ticket",
            Severity::Page => "page",
        }
    }
}

/// A pair of windows and the burn rate that both must reach for the rule to fire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRule {
    /// The short window, which shows that the misses continue.
    pub short: Window,
    /// The long window, which shows that the misses are significant.
    pub long: Window,
    /// The burn rate that both windows must reach.
    pub factor: f64,
    /// The share of missed requests that always suffices for the rule to fire, 0 to 1.
    pub ceiling: f64,
}

impl BurnRule {
    /// The burn rate at which the rule fires for an error budget.
    ///
    /// The burn rate of an objective of 90% can't exceed 10 even if every request misses, so a
    /// fixed factor of 14.4 would never page for it. A share of `ceiling` missed requests is
    /// therefore always enough, unless the objective itself allows that share.
    pub fn threshold(&self, budget: f64) -> f64 {
        let reachable = (self.ceiling / budget).max(SUSTAINABLE_BURN_RATE);
        self.factor.min(reachable)
    }
}

/// The rules applied by a report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRules {
    /// Fires [`Severity::Page`].
    pub page: BurnRule,
    /// Fires [`Severity::Ticket`].
    pub ticket: BurnRule,
}

impl Default for BurnRules {
    /// A burn rate of 14.4 over 5 minutes and one hour (2% of a month's budget in that hour) pages,
    /// and a burn rate of 6 over 30 minutes and six hours (5% of it) is a ticket. A share of missed
    /// requests of one half, or one quarter respectively, always suffices.
    fn default() -> BurnRules {
        BurnRules {
            page: BurnRule {
                short: Window::FiveMinutes,
                long: Window::Hour,
                factor: 14.4,
                ceiling: 0.5,
            },
            ticket: BurnRule {
                short: Window::HalfHour,
                long: Window::SixHours,
                factor: 6.0,
                ceiling: 0.25,
            },
        }
    }
}
