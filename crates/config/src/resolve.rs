//! Determines the account, class and service of a request.

use std::borrow::Cow;

use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::ServiceKey;
use percent_encoding::percent_decode_str;
use quick_error::quick_error;

use crate::catalog::Catalog;
use crate::digest::Credential;
use crate::model::Account;
use crate::model::CallPattern;
use crate::model::Class;
use crate::model::Resolved;
use crate::model::ServiceKind;

/// The target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model, by the name in the request's body.
    Model(&'a str),
    /// A call of a plain service.
    Path {
        /// The HTTP method, in capitals.
        method: &'a str,
        /// The path without the query.
        path: &'a str,
    },
}

quick_error! {
    /// Why a request is refused before it is queued.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// No account has the key.
        UnknownKey {
            display("no account has this key")
        }
        /// None of the account's services serves the model.
        UnknownModel {
            display("no service that the account may use serves this model")
        }
        /// None of the account's services has a prefix of the path.
        UnknownPath {
            display("no service that the account may use serves this path")
        }
        /// The call belongs to a class that the account may not use.
        ForbiddenCall {
            display("the call belongs to a class that the account may not use")
        }
        /// The caller requests a class that the account can't use for this request.
        UnknownClass {
            display("the account has no such class for this request")
        }
        /// The caller requests a class with a higher priority than its default.
        RaisedClass {
            display("a caller may lower its class but not raise it")
        }
    }
}

impl Refusal {
    /// Returns the machine-readable reason of the refusal.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::UnknownKey => "unknown-key",
            Refusal::UnknownModel => "unknown-model",
            Refusal::UnknownPath => "unknown-path",
            Refusal::ForbiddenCall => "forbidden-call",
            Refusal::UnknownClass => "unknown-class",
            Refusal::RaisedClass => "raised-class",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Refusal::UnknownKey => 401,
            Refusal::UnknownModel | Refusal::UnknownPath => 404,
            Refusal::ForbiddenCall | Refusal::RaisedClass => 403,
            Refusal::UnknownClass => 400,
        }
    }
}

/// Resolves a request by the caller's credential.
///
/// `requested` is the class named in `x-class`, which can't have a higher priority than the
/// default.
///
/// # Errors
///
/// A [`Refusal`] if no account has the key, or if the account may not use the model, path or class.
pub fn resolve(
    catalog: &Catalog,
    credential: &Credential<'_>,
    target: Target<'_>,
    requested: Option<&str>,
) -> Result<Resolved, Refusal> {
    let account = catalog.account_of(credential).ok_or(Refusal::UnknownKey)?;
    resolve_account(catalog, account, target, requested)
}

/// Like [`resolve`], for a known account.
///
/// # Errors
///
/// A [`Refusal`] if the account was removed or may not use the model, path or class.
pub fn resolve_account(
    catalog: &Catalog,
    account: AccountKey,
    target: Target<'_>,
    requested: Option<&str>,
) -> Result<Resolved, Refusal> {
    let record = catalog.accounts.get(account).ok_or(Refusal::UnknownKey)?;
    let resolver = Resolver {
        catalog,
        account,
        record,
    };
    match target {
        Target::Model(id) => resolver.model(id, requested),
        Target::Path { method, path } => resolver.path(method, path, requested),
    }
}

struct Resolver<'a> {
    catalog: &'a Catalog,
    account: AccountKey,
    record: &'a Account,
}

impl Resolver<'_> {
    fn class(&self, key: ClassKey) -> &Class {
        &self.catalog.classes[key]
    }

    fn model(&self, id: &str, requested: Option<&str>) -> Result<Resolved, Refusal> {
        let classes = self.record.classes.iter();
        let serving = classes.copied().find_map(|key| {
            let service = self.class(key).service;
            let model = self.catalog.model_of(service, id)?;
            Some((key, service, model))
        });
        let (default, service, model) = serving.ok_or(Refusal::UnknownModel)?;
        let key = self.select_class(default, requested)?;
        let class = self.class(key);
        Ok(Resolved {
            account: self.account,
            class: key,
            service,
            model: Some(model),
            idempotent: class.idempotent,
            retries: class.retries,
        })
    }

    fn path(&self, method: &str, path: &str, requested: Option<&str>) -> Result<Resolved, Refusal> {
        let service = self.service_of(path).ok_or(Refusal::UnknownPath)?;
        let bound = self.bound_class(service, method, path);
        let default = match bound {
            Some(key) if !self.record.classes.contains(&key) => {
                return Err(Refusal::ForbiddenCall);
            }
            Some(key) => key,
            None => self.default_class(service).ok_or(Refusal::UnknownPath)?,
        };
        let key = self.select_class(default, requested)?;
        let class = self.class(key);
        // Requesting a lower class must not make a call repeatable: a confirmation sent in the
        // class of lookups would be retried and run twice. A call that isn't bound to a class is
        // repeatable only if its method is safe.
        let repeatable = self.class(default).idempotent && (bound.is_some() || is_safe(method));
        let idempotent = class.idempotent && repeatable;
        Ok(Resolved {
            account: self.account,
            class: key,
            service,
            model: None,
            idempotent,
            retries: if idempotent { class.retries } else { 0 },
        })
    }

    /// Returns the account's service with the longest prefix of the path; the first one listed if
    /// there are several.
    fn service_of(&self, path: &str) -> Option<ServiceKey> {
        let mut best: Option<(usize, ServiceKey)> = None;
        for &key in &self.record.classes {
            let service = self.class(key).service;
            let ServiceKind::Plain { prefix } = &self.catalog.services[service].kind else {
                continue;
            };
            let longer = best.is_none_or(|(len, _)| prefix.len() > len);
            if longer && is_below(path, prefix) {
                best = Some((prefix.len(), service));
            }
        }
        best.map(|(_, service)| service)
    }

    /// Returns the class to which the service's owner binds the call; the one with the fewest
    /// wildcards if several match.
    fn bound_class(&self, service: ServiceKey, method: &str, path: &str) -> Option<ClassKey> {
        let segments = segments(path);
        let classes = self.catalog.services[service].classes.iter().copied();
        let calls = classes.flat_map(|key| self.class(key).calls.iter().map(move |c| (c, key)));
        let matching = calls.filter(|(call, _)| matches_call(call, method, &segments));
        let best = matching.min_by_key(|(call, _)| wildcards(call));
        best.map(|(_, key)| key)
    }

    fn default_class(&self, service: ServiceKey) -> Option<ClassKey> {
        let classes = self.record.classes.iter().copied();
        classes
            .into_iter()
            .find(|&key| self.class(key).service == service)
    }

    /// Returns the requested class if the account has it, it is on the same service, and its
    /// priority isn't higher than that of `default`.
    fn select_class(
        &self,
        default: ClassKey,
        requested: Option<&str>,
    ) -> Result<ClassKey, Refusal> {
        let Some(name) = requested else {
            return Ok(default);
        };
        let own = self.class(default);
        let classes = self.record.classes.iter().copied();
        let mut matching = classes.filter(|&key| {
            let class = self.class(key);
            class.service == own.service && (class.name == name || class.short_name() == name)
        });
        let key = matching.next().ok_or(Refusal::UnknownClass)?;
        if self.class(key).priority < own.priority {
            return Err(Refusal::RaisedClass);
        }
        Ok(key)
    }
}

/// Whether a path is the prefix itself or below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Splits a path into segments, as a server may read it: empty segments and dot segments are removed and escapes
/// decoded, so that another spelling of a path can't bypass a binding.
fn segments(path: &str) -> Vec<Cow<'_, str>> {
    let mut segments = Vec::new();
    for segment in path.split('/') {
        let segment = percent_decode_str(segment).decode_utf8_lossy();
        match &*segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    segments
}

fn matches_call(call: &CallPattern, method: &str, segments: &[Cow<'_, str>]) -> bool {
    let same = |(pattern, segment): (&String, &Cow<'_, str>)| pattern == "*" || pattern == segment;
    call.method == method
        && call.segments.len() == segments.len()
        && call.segments.iter().zip(segments).all(same)
}

fn wildcards(call: &CallPattern) -> usize {
    call.segments.iter().filter(|s| *s == "*").count()
}

/// Whether a method is safe, as defined in RFC 9110, section 9.2.1.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}
