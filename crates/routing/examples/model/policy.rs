//! The policies to compare.

use std::collections::HashMap;

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::AttemptKey;
use crocushold_routing::Demand;
use crocushold_routing::ListSnapshot;
use crocushold_routing::Listed;
use crocushold_routing::LoadReport;
use crocushold_routing::Outcome;
use crocushold_routing::Presence;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use crocushold_routing::Share;

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Each instance uses the listed servers in turn.
    RoundRobin,
    /// The router with the given number of choices and load reports, with or without affinity.
    Router {
        choices: usize,
        /// Accepts one of this many reports; none if 0.
        reports: u32,
        affinity: bool,
    },
}

impl Policy {
    pub(crate) fn all() -> Vec<Policy> {
        let router = |choices, reports, affinity| Policy::Router {
            choices,
            reports,
            affinity,
        };
        vec![
            Policy::RoundRobin,
            router(1, 1, false),
            router(2, 0, false),
            router(2, 1, false),
            router(3, 0, false),
            router(3, 1, false),
            router(5, 1, false),
            router(2, 1, true),
            router(3, 0, true),
            router(3, 60, true),
            router(3, 10, true),
            router(3, 1, true),
        ]
    }

    pub(crate) fn name(self) -> String {
        let Policy::Router {
            choices,
            reports,
            affinity,
        } = self
        else {
            return "round robin".to_owned();
        };
        let reports = match reports {
            0 => ", no reports".to_owned(),
            1 => String::new(),
            some => format!(", a report each {} s", some / 2),
        };
        let affinity = if affinity { ", affinity" } else { "" };
        format!("router, {choices} choices{reports}{affinity}")
    }
}

/// The state of a policy on one entry instance.
pub(crate) enum Chooser {
    RoundRobin {
        next: usize,
        listed: Vec<usize>,
    },
    Router {
        router: Box<Router>,
        affinity: bool,
        /// Accepts one of this many reports.
        reports: u32,
        /// Number of reports received.
        received: HashMap<ServerKey, u32>,
    },
}

/// The server chosen for a request.
pub(crate) struct Choice {
    pub(crate) server: usize,
    pub(crate) attempt: Option<AttemptKey>,
}

impl Chooser {
    pub(crate) fn new(policy: Policy, keys: &[ServerKey], slots: u32, share: Share) -> Chooser {
        let Policy::Router {
            choices,
            reports,
            affinity,
        } = policy
        else {
            let listed: Vec<usize> = (0..keys.len()).collect();
            let next = share.index as usize * 3;
            return Chooser::RoundRobin { next, listed };
        };
        let settings = Settings {
            choices,
            ..Settings::default()
        };
        let mut router = Router::new(settings, "a", u64::from(share.index));
        let spec = |(at, &key): (usize, &ServerKey)| ServerSpec {
            key,
            id: at as u64,
            zone: "a".to_owned(),
            region: None,
            software: None,
            concurrency: slots,
            models: Vec::new(),
        };
        let specs: Vec<ServerSpec> = keys.iter().enumerate().map(spec).collect();
        router.configure(&specs, Millis::ZERO);
        router.set_share(share);
        let router = Box::new(router);
        Chooser::Router {
            router,
            affinity,
            reports,
            received: HashMap::new(),
        }
    }

    pub(crate) fn choose(
        &mut self,
        keys: &[ServerKey],
        prefix: u64,
        tried: &[ServerKey],
        now: Millis,
    ) -> Option<Choice> {
        match self {
            Chooser::RoundRobin { next, listed } => {
                *next += 1;
                let server = listed[*next % listed.len()];
                let attempt = None;
                Some(Choice { server, attempt })
            }
            Chooser::Router {
                router, affinity, ..
            } => {
                let demand = Demand {
                    prefix: affinity.then_some(prefix),
                    priority: 1,
                    idempotent: true,
                    exclude: tried,
                    ..Demand::default()
                };
                let pick = router.pick(&demand, now).ok()?;
                let server = keys.iter().position(|&key| key == pick.server)?;
                let attempt = Some(pick.attempt);
                Some(Choice { server, attempt })
            }
        }
    }

    pub(crate) fn first_byte(&mut self, attempt: Option<AttemptKey>, now: Millis) {
        if let (Chooser::Router { router, .. }, Some(attempt)) = (self, attempt) {
            router.first_byte(attempt, now);
        }
    }

    pub(crate) fn done(
        &mut self,
        attempt: Option<AttemptKey>,
        outcome: Outcome,
        tokens: u32,
        now: Millis,
    ) {
        if let (Chooser::Router { router, .. }, Some(attempt)) = (self, attempt) {
            router.done(attempt, outcome, tokens, now);
        }
    }

    pub(crate) fn report(&mut self, key: ServerKey, report: LoadReport, now: Millis) {
        if let Chooser::Router {
            router,
            reports,
            received,
            ..
        } = self
        {
            let number = received.entry(key).or_insert(0);
            *number += 1;
            if *reports > 0 && number.is_multiple_of(*reports) {
                router.load_report(key, report, now);
            }
        }
    }

    pub(crate) fn list(&mut self, live: &[usize], keys: &[ServerKey], revision: u64, now: Millis) {
        match self {
            Chooser::RoundRobin { listed, .. } => live.clone_into(listed),
            Chooser::Router { router, .. } => {
                let of = |&at: &usize| Listed {
                    server: keys[at],
                    presence: Presence::Live,
                };
                let servers = live.iter().map(of).collect();
                router.instance_list(&ListSnapshot { revision, servers }, now);
            }
        }
    }
}
