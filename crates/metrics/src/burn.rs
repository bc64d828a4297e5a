//! Burn of the error budget, over a short and a long window.
//!
//! The burn rate of a window is the share of missed requests divided by the share that the objective
//! leaves for misses. A rule fires when *both* its windows burn at its factor: the long one shows
//! that it matters, the short one that it still goes on.

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

/// Burn rate that spends the error budget exactly.
const SUSTAINABLE: f64 = 1.0;

/// How urgent a burning class is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Within the budget.
    Fine,
    /// The budget will be gone in days: worth a ticket.
    Ticket,
    /// The budget will be gone in hours: worth waking somebody.
    Page,
}

impl Severity {
    /// The word that the table shows.
    pub const fn label(self) -> &'static str {
        match self {
            Severity::Fine => "fine",
            Severity::Ticket => "ticket",
            Severity::Page => "page",
        }
    }
}

/// A pair of windows and the burn rate at which both together fire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRule {
    /// The window that shows that the burn goes on.
    pub short: Window,
    /// The window that shows that it matters.
    pub long: Window,
    /// Burn rate that both must reach.
    pub factor: f64,
    /// Share of missed requests that is enough in any case, 0 to 1.
    pub ceiling: f64,
}

impl BurnRule {
    /// The burn rate at which the rule fires for an error budget.
    ///
    /// An objective of 90% can't burn faster than 10 times even when every request misses: a fixed
    /// factor of 14.4 would never page for it. A share of `ceiling` missed is therefore always
    /// enough, unless the objective itself allows for it.
    pub fn threshold(&self, budget: f64) -> f64 {
        let reachable = (self.ceiling / budget).max(SUSTAINABLE);
        self.factor.min(reachable)
    }
}

/// The rules that a report applies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnRules {
    /// Fires [`Severity::Page`].
    pub page: BurnRule,
    /// Fires [`Severity::Ticket`].
    pub ticket: BurnRule,
}

impl Default for BurnRules {
    /// 14.4 times over 5 minutes and an hour (2% of a month's budget in that hour) pages; 6 times
    /// over 30 minutes and six hours (5% of it) is a ticket. So are half, and a quarter, of the
    /// requests missed.
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
