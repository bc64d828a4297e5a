//! The burn report over all instances.

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

/// The smallest error budget. An objective of 1 leaves no budget, and JSON can't represent the
/// result of a division by zero.
const MIN_BUDGET: f64 = 1e-6;

/// The burn rates of all classes, summed over the instances that could be read.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    /// The rules that were applied.
    pub rules: BurnRules,
    /// Names of the counted instances, sorted.
    pub instances: Vec<String>,
    /// The classes, sorted by name.
    pub classes: Vec<ClassBurn>,
    /// The reasons why the figures are incomplete.
    pub findings: Vec<Finding>,
}

/// The burn rates of a class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassBurn {
    /// Name of the class.
    pub class: String,
    /// Share of requests that should attain their targets.
    pub objective: f64,
    /// The severity of the most severe rule that fires.
    pub severity: Severity,
    /// The windows of the rule for pages.
    pub page: PairBurn,
    /// The windows of the rule for tickets.
    pub ticket: PairBurn,
}

/// The burn rates over the two windows of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PairBurn {
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// The burn rate at which the rule fires for this class.
    pub threshold: f64,
    /// Whether both windows reach the threshold.
    pub burning: bool,
}

/// The burn rate over a window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// The requests in the window.
    pub counts: Counts,
    /// The share of missed requests divided by the error budget; 0 without requests.
    pub burn: f64,
}

/// A reason why the figures of the report are incomplete.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The address of the instance.
    pub address: String,
    /// The problem with the instance.
    pub problem: Problem,
}

/// Why the figures of an instance are missing or partial.
#[derive(Clone, Debug, PartialEq)]
pub enum Problem {
    /// The metrics weren't received or are malformed.
    Unreadable(String),
    /// The metrics aren't those of a crocushold instance.
    NotInstance,
    /// The instance with this name was already counted under another address.
    Duplicate(String),
    /// The instance has been up for this time, less than the longest window. The counts of its
    /// predecessor are lost.
    RecentStart(Millis),
    /// The objective of this class differs from that of an earlier instance; the stricter one is
    /// used.
    OtherObjective(String),
    /// The instance counts requests of this class but exposes no objective. The class is left out
    /// if no other instance exposes one.
    NoObjective(String),
}

impl Problem {
    /// Whether all figures of the instance are missing.
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
    /// The instances keep the windows themselves, so no counters are subtracted here, and a
    /// replaced instance can't cause a negative rate. Its counts restart from zero, which is
    /// reported as a finding.
    pub fn from_scrapes(rules: &BurnRules, scrapes: &[Scrape]) -> BurnReport {
        let mut sum = BurnSum::new(rules);
        for scrape in scrapes {
            sum.add(scrape);
        }
        sum.into_report(rules)
    }

    /// The highest severity of all classes.
    pub fn severity(&self) -> Severity {
        let severities = self.classes.iter().map(|c| c.severity);
        severities.max().unwrap_or(Severity::Fine)
    }

    /// Whether all instances could be read.
    pub fn is_complete(&self) -> bool {
        !self.findings.iter().any(|f| f.problem.is_missing())
    }
}

/// The sum of the readings so far.
struct BurnSum {
    longest_window: Millis,
    instances: BTreeSet<String>,
    classes: BTreeMap<String, ClassReading>,
    findings: Vec<Finding>,
}

impl BurnSum {
    fn new(rules: &BurnRules) -> BurnSum {
        let longest = rules.page.long.max(rules.ticket.long);
        BurnSum {
            longest_window: longest.span(),
            instances: BTreeSet::new(),
            classes: BTreeMap::new(),
            findings: Vec::new(),
        }
    }

    fn add(&mut self, scrape: &Scrape) {
        let reading = match Reading::parse(scrape) {
            Ok(reading) => reading,
            Err(problem) => return self.add_finding(scrape, problem),
        };
        // If an instance has two addresses, or one address is given twice, its requests would be
        // counted twice.
        if !self.instances.insert(reading.instance.clone()) {
            return self.add_finding(scrape, Problem::Duplicate(reading.instance));
        }
        if reading.uptime < self.longest_window {
            self.add_finding(scrape, Problem::RecentStart(reading.uptime));
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
            self.add_finding(scrape, problem);
        }
    }

    fn add_finding(&mut self, scrape: &Scrape, problem: Problem) {
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
