//! Reads values that depend on several keys or have several parts.

use crocushold_base::Millis;

use crate::decl::Grant;
use crate::fields::Fields;
use crate::model::ServiceKind;
use crate::model::Targets;
use crate::units;
use crate::units::ValueError;

/// Maximum concurrency of a server or an account, in requests.
pub(super) const MAX_CONCURRENCY: u32 = 100_000;

/// Reads how many requests a server runs at once.
pub(super) fn take_concurrency(fields: &mut Fields<'_>) -> Option<u32> {
    fields.take("concurrency", |v| units::count(v, 1, MAX_CONCURRENCY))
}

/// Reads the kind of a service and, for a plain service, its prefix.
pub(super) fn read_kind(fields: &mut Fields<'_>) -> Option<ServiceKind> {
    let kind = fields.require("kind", "model", |v| Ok(v.to_owned()))?;
    let prefix = fields.take("prefix", units::prefix);
    match kind.as_str() {
        "model" => {
            if fields.has("prefix") {
                fields.reject("prefix", "a model service has no prefix; leave it out");
            }
            Some(ServiceKind::Model)
        }
        "plain" => {
            if !fields.has("prefix") {
                fields.reject("prefix", "the key is missing; write prefix = /PATH");
            }
            Some(ServiceKind::Plain { prefix: prefix? })
        }
        _ => {
            fields.reject("kind", "the kind is unknown; write model or plain");
            None
        }
    }
}

/// Parses `TEAM SHARE`.
pub(super) fn read_grant(value: &str) -> Result<Grant, ValueError> {
    let (team, share) = value.split_once(' ').unwrap_or((value, ""));
    Ok(Grant {
        team: units::name(team)?,
        share: units::share(share.trim())?,
    })
}

/// Reads the targets: the first token and the gap between tokens, or the whole answer, or both.
pub(super) fn read_targets(fields: &mut Fields<'_>) -> Targets {
    let targets = Targets {
        first_token: fields.take("first-token", units::duration),
        between_tokens: fields.take("between-tokens", units::duration),
        whole_answer: fields.take("whole-answer", units::duration),
    };
    let whole = targets.whole_answer.unwrap_or(Millis::MAX);
    let not_below_whole = |part: Option<Millis>| part.is_some_and(|part| part >= whole);
    if not_below_whole(targets.first_token) {
        let message = "the first token is due no sooner than the whole answer; \
                       write a first-token below whole-answer";
        fields.reject("first-token", message);
    }
    if not_below_whole(targets.between_tokens) {
        let message = "the gap is as long as the whole answer may take; \
                       write a between-tokens below whole-answer";
        fields.reject("between-tokens", message);
    }
    if !fields.has("first-token") && !fields.has("whole-answer") {
        let message = "the class has no target; write first-token = 350 ms or whole-answer = 10 s";
        fields.reject("", message);
    }
    targets
}
