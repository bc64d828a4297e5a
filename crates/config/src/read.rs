//! Converts the sections of one edition to declarations.

mod head;
mod values;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use self::head::is_bounded;
use self::head::read_head;
use self::head::report_duplicates;
use self::values::MAX_CONCURRENCY;
use self::values::read_grant;
use self::values::read_kind;
use self::values::read_targets;
use self::values::take_concurrency;
use crate::decl::AccountDecl;
use crate::decl::ClassDecl;
use crate::decl::Declarations;
use crate::decl::Location;
use crate::decl::ModelDecl;
use crate::decl::ServerDecl;
use crate::decl::ServiceDecl;
use crate::fields::Fields;
use crate::finding::Findings;
use crate::finding::Severity;
use crate::model::Limits;
use crate::model::Priority;
use crate::model::ServiceKind;
use crate::model::Share;
use crate::source::Section;
use crate::units;
use crate::units::ValueError;

const MAX_RETRIES: u32 = 3;
const MAX_QUEUE: u32 = 1_000_000;
const MAX_REPLICAS: u32 = 10_000;

/// An account has one key, and two during key rotation.
const MAX_KEYS: usize = 2;

const DEFAULT_CONCURRENCY: u32 = 64;
const DEFAULT_QUEUE: u32 = 256;
const DEFAULT_OBJECTIVE: Share = Share(9_500);

/// Used in place of an invalid address.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

const UNKNOWN_SECTION: &str = "the section is unknown; write [service NAME], [server SERVICE/NAME], \
                      [model SERVICE/NAME], [class NAME] or [account NAME]";

/// Reads sections in order.
///
/// A section with an invalid value is still declared, with a placeholder for the value, so that
/// later checks find its other errors. A placeholder is never in force, since the error that caused
/// it rejects the edition.
pub(crate) struct Reader<'a> {
    team: &'a str,
    declarations: Declarations,
    findings: &'a mut Findings,
}

/// Reads the head section of an edition, then the others.
pub(crate) fn read(team: &str, sections: &[Section], findings: &mut Findings) -> Declarations {
    let Some((head, rest)) = sections.split_first() else {
        return Declarations::default();
    };
    if !read_head(team, head, findings) || !is_bounded(team, rest, findings) {
        return Declarations::default();
    }
    report_duplicates(team, rest, findings);
    let mut reader = Reader {
        team,
        declarations: Declarations::default(),
        findings,
    };
    for section in rest {
        reader.section(section);
    }
    reader.declarations
}

impl Reader<'_> {
    fn section(&mut self, section: &Section) {
        let (kind, name) = section.header.split_once(' ').unwrap_or_default();
        let name = name.trim();
        match kind {
            "service" => self.service(section, name),
            "server" => self.server(section, name),
            "model" => self.model(section, name),
            "class" => self.class(section, name),
            "account" => self.account(section, name),
            _ => self.unknown(section, name),
        }
    }

    fn unknown(&mut self, section: &Section, name: &str) {
        self.reject(section, UNKNOWN_SECTION);
        self.record_malformed("service", format!("{}/{name}", self.team));
        self.record_malformed("class", format!("{}/{name}", self.team));
    }

    /// Records a declaration that can't be parsed, so that references to it don't become findings
    /// too.
    fn record_malformed(&mut self, kind: &'static str, name: String) {
        self.declarations.malformed.insert((kind, name));
    }

    fn reject(&mut self, section: &Section, message: impl Into<String>) {
        let location = Location::new(self.team, section);
        self.findings
            .push(location.finding(Severity::Error, "", message.into()));
    }

    /// Returns the full name of a section with a header `KIND NAME`.
    fn full_name(&mut self, section: &Section, name: &str) -> Option<String> {
        match units::name(name) {
            Ok(name) => Some(format!("{}/{name}", self.team)),
            Err(error) => {
                self.reject(section, error.to_string());
                None
            }
        }
    }

    /// Returns the service's full name and the local name of a section with a header
    /// `KIND SERVICE/NAME`.
    fn member_name(
        &mut self,
        section: &Section,
        name: &str,
        read: impl Fn(&str) -> Result<String, ValueError>,
    ) -> Option<(String, String)> {
        let Some((service, local_name)) = name.split_once('/') else {
            self.reject(section, "the service is missing; write SERVICE/NAME");
            return None;
        };
        match (units::name(service), read(local_name)) {
            (Ok(service), Ok(local_name)) => Some((format!("{}/{service}", self.team), local_name)),
            (Err(error), _) | (_, Err(error)) => {
                self.reject(section, error.to_string());
                None
            }
        }
    }

    fn service(&mut self, section: &Section, name: &str) {
        let name = self.full_name(section, name);
        let team = self.team;
        let mut fields = Fields::new(team, section, self.findings);
        let kind = read_kind(&mut fields);
        let depends = fields.take("depends-on", |v| {
            units::list(v, |item| units::reference(team, item))
        });
        let grants = fields.take("shared-with", |v| units::list(v, read_grant));
        let loads = fields.take("weight-loads", |v| units::rate(v, "/min"));
        let concurrency = take_concurrency(&mut fields);
        let orders = fields.take("checks-orders", units::flag);
        let role = fields.take("role", units::role);
        if loads.is_some() && matches!(kind, Some(ServiceKind::Plain { .. })) {
            fields.reject(
                "weight-loads",
                "a plain service loads no weights; leave it out",
            );
        }
        if role.is_some() && matches!(kind, Some(ServiceKind::Plain { .. })) {
            fields.reject("role", "a plain service has no roles; leave it out");
        }
        fields.finish();
        let Some(name) = name else {
            return;
        };
        if kind.is_none() {
            self.record_malformed("service", name.clone());
        }
        self.declarations.services.push(ServiceDecl {
            location: Location::new(team, section),
            name,
            kind: kind.unwrap_or(ServiceKind::Model),
            depends: depends.unwrap_or_default(),
            grants: grants.unwrap_or_default(),
            weight_loads: loads.unwrap_or_default(),
            concurrency: concurrency.unwrap_or(DEFAULT_CONCURRENCY),
            checks_orders: orders.unwrap_or(false),
            role,
        });
    }

    fn server(&mut self, section: &Section, name: &str) {
        let names = self.member_name(section, name, units::name);
        let mut fields = Fields::new(self.team, section, self.findings);
        let address = fields.require("address", "10.0.0.7:8000", units::address);
        let zone = fields.require("zone", "ZONE", units::name);
        let concurrency = take_concurrency(&mut fields);
        let checks_orders = fields.take("checks-orders", units::flag);
        let role = fields.take("role", units::role);
        fields.finish();
        let Some((service, local_name)) = names else {
            return;
        };
        self.declarations.servers.push(ServerDecl {
            location: Location::new(self.team, section),
            name: format!("{service}/{local_name}"),
            service,
            address: address.unwrap_or(PLACEHOLDER_ADDRESS),
            zone: zone.unwrap_or_default(),
            concurrency,
            checks_orders,
            role,
        });
    }

    fn model(&mut self, section: &Section, name: &str) {
        let names = self.member_name(section, name, units::model_id);
        let mut fields = Fields::new(self.team, section, self.findings);
        let weights = fields.require("weights", "16 GB", units::size);
        let replicas = fields.require("servers", "2", |v| units::count(v, 1, MAX_REPLICAS));
        fields.finish();
        let Some((service, id)) = names else {
            return;
        };
        self.declarations.models.push(ModelDecl {
            location: Location::new(self.team, section),
            name: format!("{service}/{id}"),
            id,
            service,
            weights: weights.unwrap_or_default(),
            replicas: replicas.unwrap_or_default(),
        });
    }

    fn class(&mut self, section: &Section, name: &str) {
        let name = self.full_name(section, name);
        let team = self.team;
        let mut fields = Fields::new(team, section, self.findings);
        let service = fields.require("service", "SERVICE", |v| units::reference(team, v));
        let priority = fields.require("priority", "3", units::priority);
        let targets = read_targets(&mut fields);
        let floor = fields.take("floor", units::share);
        let idempotent = fields.require("idempotent", "yes", units::flag);
        let retries = fields.take("retries", |v| units::count(v, 0, MAX_RETRIES));
        let queue = fields.take("queue", |v| units::count(v, 0, MAX_QUEUE));
        let objective = fields.take("objective", units::share);
        let calls = fields.take("calls", |v| units::list(v, units::call));
        let teams = fields.take("shared-with", |v| units::list(v, units::name));
        if objective == Some(Share::WHOLE) || objective == Some(Share(0)) {
            let message = "no burn can be worked out; write a share between 0 % and 100 %";
            fields.reject("objective", message);
        }
        if idempotent == Some(false) && retries.is_some_and(|count| count > 0) {
            let message = "a request that is not idempotent is never sent again; \
                           write retries = 0 or idempotent = yes";
            fields.reject("retries", message);
        }
        fields.finish();
        let Some(name) = name else {
            return;
        };
        if service.is_none() || priority.is_none() {
            self.record_malformed("class", name.clone());
        }
        let Some(service) = service else {
            return;
        };
        let idempotent = idempotent.unwrap_or(false);
        let default_retries = u32::from(idempotent);
        self.declarations.classes.push(ClassDecl {
            location: Location::new(team, section),
            name,
            service,
            priority: priority.unwrap_or(Priority::LOWEST),
            targets,
            floor: floor.unwrap_or_default(),
            idempotent,
            retries: retries.unwrap_or(default_retries),
            queue: queue.unwrap_or(DEFAULT_QUEUE),
            objective: objective.unwrap_or(DEFAULT_OBJECTIVE),
            calls: calls.unwrap_or_default(),
            teams: teams.unwrap_or_default(),
        });
    }

    fn account(&mut self, section: &Section, name: &str) {
        let name = self.full_name(section, name);
        let team = self.team;
        let mut fields = Fields::new(team, section, self.findings);
        let digests = fields.require("key-sha256", "64 hexadecimal digits", |v| {
            units::list(v, units::digest)
        });
        if digests.as_ref().is_some_and(|keys| keys.len() > MAX_KEYS) {
            fields.reject(
                "key-sha256",
                "there are too many keys; write one, or two to change",
            );
        }
        let classes = fields.require("classes", "CLASS, CLASS", |v| {
            units::list(v, |item| units::reference(team, item))
        });
        let requests = fields.require("requests", "50/s", |v| units::rate(v, "/s"));
        let tokens = fields.require("tokens", "20000/s", |v| units::rate(v, "/s"));
        let concurrency =
            fields.require("concurrency", "64", |v| units::count(v, 1, MAX_CONCURRENCY));
        fields.finish();
        let Some(name) = name else {
            return;
        };
        self.declarations.accounts.push(AccountDecl {
            location: Location::new(team, section),
            name,
            digests: digests.unwrap_or_default(),
            classes: classes.unwrap_or_default(),
            limits: Limits {
                requests: requests.unwrap_or_default(),
                tokens: tokens.unwrap_or_default(),
                concurrency: concurrency.unwrap_or_default(),
            },
        });
    }
}
