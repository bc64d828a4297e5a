//! The report over all instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crocushold_base::Millis;
use serde::Serialize;
use serde::Serializer;

use crate::burn::BurnRule;
use crate::burn::BurnRules;
use crate::burn::Severity;
use crate::burn::scrape::ClassReading;
use crate::burn::scrape::Reading;
use crate::burn::scrape::Scrape;
use crate::window::Counts;
use crate::window::Window;

/// Smallest error budget: an objective of 1 leaves none, and dividing by zero would not fit JSON.
const MIN_BUDGET: f64 = 1e-6;

/// Burn of every class, summed over the instances that could be read.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// The rules that were applied.
    pub rules: BurnRules,
    /// Names of the instances that were counted, sorted.
    pub instances: Vec<String>,
    /// One entry a class, sorted by name.
    pub classes: Vec<ClassBurn>,
    /// What makes the figures incomplete.
    pub findings: Vec<Finding>,
}

/// Burn of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassBurn {
    /// Name of the class.
    pub class: String,
    /// Share of requests that should attain their targets.
    pub objective: f64,
    /// The stronger of the rules that fire.
    pub severity: Severity,
    /// The pair that pages.
    pub page: PairBurn,
    /// The pair that makes a ticket.
    pub ticket: PairBurn,
}

/// Burn over the two windows of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PairBurn {
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// Burn rate at which the rule fires for this class.
    pub threshold: f64,
    /// Whether both reach it.
    pub burning: bool,
}

/// Burn over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Requests over it.
    pub counts: Counts,
    /// Share missed, divided by the share that may miss; 0 without requests.
    pub burn: f64,
}

/// Something that makes the report's figures incomplete.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The address that was asked.
    pub address: String,
    /// What is wrong.
    pub problem: Problem,
}

/// Why an instance's figures are missing or partial.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// No text came, or it is malformed.
    Unreadable(String),
    /// The text comes from no instance of crocushold.
    NotInstance,
    /// The instance, named here, was already counted under another address.
    Duplicate(String),
    /// The instance started within the longest window: what its predecessor counted is gone.
    RecentStart(Millis),
    /// It states another objective for the class than an earlier one; the stricter one is used.
    OtherObjective(String),
    /// It counts requests of the class but states no objective; the class is left out if no other
    /// instance states one.
    NoObjective(String),
}

impl Problem {
    /// Whether the instance's figures are missing altogether.
    pub const fn is_missing(&self) -> bool {
        matches!(self, Problem::Unreadable(_) | Problem::NotInstance)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(cause) => write!(f, "not read: {cause}"),
            Problem::NotInstance => f.write_str("not read: no metrics of a crocushold instance"),
            Problem::Duplicate(name) => write!(f, "is {name}, which is already counted"),
            Problem::RecentStart(uptime) => write!(
                f,
                "up for {} s only: earlier requests are not in the long windows",
                uptime.as_secs_ceil()
            ),
            Problem::OtherObjective(class) => {
                write!(f, "other objective for {class}: the stricter one is used")
            }
            Problem::NoObjective(class) => write!(f, "no objective for {class}"),
        }
    }
}

impl Serialize for Problem {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl BurnReport {
    /// Sums the scrapes of one or more instances and applies the rules.
    ///
    /// The windows are kept by the instances themselves, so that no counters are subtracted here
    /// and an instance that was replaced can't cause a negative rate: its counts start anew, which
    /// is a finding.
    pub fn from_scrapes(rules: &BurnRules, scrapes: &[Scrape]) -> BurnReport {
        let mut sum = Sum::new(rules);
        for scrape in scrapes {
            sum.add(scrape);
        }
        sum.into_report(rules)
    }

    /// The strongest severity of any class.
    pub fn severity(&self) -> Severity {
        let severities = self.classes.iter().map(|c| c.severity);
        severities.max().unwrap_or(Severity::Fine)
    }

    /// Whether every instance that was asked could be read.
    pub fn is_complete(&self) -> bool {
        !self.findings.iter().any(|f| f.problem.is_missing())
    }
}

/// Readings added up so far.
struct Sum {
    longest: Millis,
    instances: BTreeSet<String>,
    classes: BTreeMap<String, ClassReading>,
    findings: Vec<Finding>,
}

impl Sum {
    fn new(rules: &BurnRules) -> Sum {
        let longest = rules.page.long.max(rules.ticket.long);
        Sum {
            longest: longest.span(),
            instances: BTreeSet::new(),
            classes: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    fn add(&mut self, scrape: &Scrape) {
        let reading = match Reading::parse(scrape) {
            Ok(reading) => reading,
            Err(problem) => return self.find(scrape, problem),
        };
        // Two addresses of one instance, or one given twice, would count its requests twice.
        if !self.instances.insert(reading.instance.clone()) {
            return self.find(scrape, Problem::Duplicate(reading.instance));
        }
        if reading.uptime < self.longest {
            self.find(scrape, Problem::RecentStart(reading.uptime));
        }
        for (name, class) in reading.classes {
            self.add_class(scrape, name, class);
        }
    }

    fn add_class(&mut self, scrape: &Scrape, name: String, reading: ClassReading) {
        let sum = self.classes.entry(name.clone()).or_default();
        for (window, counts) in reading.windows {
            sum.windows.entry(window).or_default().add(counts);
        }
        let problem = match (sum.objective, reading.objective) {
            (_, None) => Some(Problem::NoObjective(name)),
            (Some(known), Some(stated)) if known != stated => Some(Problem::OtherObjective(name)),
            _ => None,
        };
        sum.objective = match (sum.objective, reading.objective) {
            (Some(known), Some(stated)) => Some(known.max(stated)),
            (known, stated) => known.or(stated),
        };
        if let Some(problem) = problem {
            self.find(scrape, problem);
        }
    }

    fn find(&mut self, scrape: &Scrape, problem: Problem) {
        self.findings.push(Finding {
            address: scrape.address.clone(),
            problem,
        });
    }

    fn into_report(self, rules: &BurnRules) -> BurnReport {
        let classes = self.classes.iter();
        BurnReport {
            rules: *rules,
            instances: self.instances.into_iter().collect(),
            classes: classes
                .filter_map(|(name, sum)| class_burn(rules, name, sum))
                .collect(),
            findings: self.findings,
        }
    }
}

fn class_burn(rules: &BurnRules, name: &str, sum: &ClassReading) -> Option<ClassBurn> {
    let objective = sum.objective?;
    let page = pair_burn(&rules.page, objective, sum);
    let ticket = pair_burn(&rules.ticket, objective, sum);
    let severity = match (page.burning, ticket.burning) {
        (true, _) => Severity::Page,
        (false, true) => Severity::Ticket,
        (false, false) => Severity::Fine,
    };
    Some(ClassBurn {
        class: name.to_owned(),
        objective,
        severity,
        page,
        ticket,
    })
}

fn pair_burn(rule: &BurnRule, objective: f64, sum: &ClassReading) -> PairBurn {
    let budget = (1.0 - objective).max(MIN_BUDGET);
    let threshold = rule.threshold(budget);
    let short = window_burn(rule.short, budget, sum);
    let long = window_burn(rule.long, budget, sum);
    PairBurn {
        burning: short.burn >= threshold && long.burn >= threshold,
        short,
        long,
        threshold,
    }
}

fn window_burn(window: Window, budget: f64, sum: &ClassReading) -> WindowBurn {
    let counts = sum.windows.get(&window).copied().unwrap_or_default();
    let missed = counts.attainment().map_or(0.0, |a| 1.0 - a);
    WindowBurn {
        window,
        counts,
        burn: missed / budget,
    }
}
