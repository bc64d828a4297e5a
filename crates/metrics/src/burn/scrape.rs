//! Parsing the burn metrics of an instance.

use std::collections::BTreeMap;

use crocushold_base::Millis;

use crate::burn::report::Problem;
use crate::exposition::Exposition;
use crate::exposition::Sample;
use crate::window::Counts;
use crate::window::Window;

/// The result of scraping an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scrape {
    /// The address of the instance.
    pub address: String,
    /// The text of its metrics, or the reason why the scrape failed.
    pub text: Result<String, String>,
}

/// The burn metrics of one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    pub(crate) instance: String,
    pub(crate) uptime: Millis,
    pub(crate) classes: BTreeMap<String, ClassReading>,
}

/// One class of a reading.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassReading {
    pub(crate) objective: Option<f64>,
    pub(crate) windows: BTreeMap<Window, Counts>,
}

impl Reading {
    /// Parses a scrape, or returns the problem that makes it unusable.
    pub(crate) fn parse(scrape: &Scrape) -> Result<Reading, Problem> {
        let text = scrape.text.as_ref();
        let text = text.map_err(|cause| Problem::Unreadable(cause.clone()))?;
        let parsed = Exposition::parse(text);
        let exposition = parsed.map_err(|e| Problem::Unreadable(e.to_string()))?;
        let mut reading = Reading {
            instance: instance(&exposition)?,
            uptime: uptime(&exposition)?,
            classes: BTreeMap::new(),
        };
        for sample in exposition.family("crocushold_class_objective_ratio") {
            reading.class(sample).objective = Some(sample.value);
        }
        for sample in exposition.family("crocushold_window_requests") {
            reading.add_window(sample)?;
        }
        Ok(reading)
    }

    fn class(&mut self, sample: &Sample) -> &mut ClassReading {
        let name = sample.label("class").to_owned();
        self.classes.entry(name).or_default()
    }

    fn add_window(&mut self, sample: &Sample) -> Result<(), Problem> {
        // Windows that only a newer version of the program exposes are skipped.
        let Ok(window) = sample.label("window").parse() else {
            return Ok(());
        };
        let value = count(sample.value)?;
        let counts = match sample.label("verdict") {
            "attained" => Counts {
                attained: value,
                missed: 0,
            },
            "missed" => Counts {
                attained: 0,
                missed: value,
            },
            _ => return Ok(()),
        };
        let class = self.class(sample);
        class.windows.entry(window).or_default().add(counts);
        Ok(())
    }
}

fn instance(exposition: &Exposition) -> Result<String, Problem> {
    let mut infos = exposition.family("crocushold_instance_info");
    let info = infos.next().ok_or(Problem::NotInstance)?;
    Ok(info.label("instance").to_owned())
}

fn uptime(exposition: &Exposition) -> Result<Millis, Problem> {
    let seconds = exposition.value("crocushold_uptime_seconds");
    let seconds = seconds.ok_or(Problem::NotInstance)?;
    Ok(Millis((seconds * 1000.0) as u64))
}

fn count(value: f64) -> Result<u64, Problem> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value as u64);
    }
    Err(Problem::Unreadable(format!("{value} is no count")))
}
