//! Roles: the text's, the engines' and the numbers under which instances speak of them.

use crocushold_config::Role;
use crocushold_ownership::RoleId;
use crocushold_platform::wire::EngineRole;

/// Whole requests: prompts and tokens.
pub(super) const WHOLE: RoleId = RoleId(0);

const PREFILL: RoleId = RoleId(1);
const DECODE: RoleId = RoleId(2);

/// A role that this version doesn't know. It is never wanted.
const OTHER: RoleId = RoleId(u8::MAX);

/// The number of a role that the text names.
pub(super) fn configured_role(role: Role) -> RoleId {
    match role {
        Role::Both => WHOLE,
        Role::Prefill => PREFILL,
        Role::Decode => DECODE,
    }
}

/// The number of a role that an engine reports.
pub(super) fn reported_role(role: EngineRole) -> RoleId {
    match role {
        EngineRole::Both => WHOLE,
        EngineRole::Prefill => PREFILL,
        EngineRole::Decode => DECODE,
        EngineRole::Other => OTHER,
    }
}

/// The role as engines are told it.
pub(super) fn ordered_role(role: RoleId) -> Option<EngineRole> {
    match role {
        WHOLE => Some(EngineRole::Both),
        PREFILL => Some(EngineRole::Prefill),
        DECODE => Some(EngineRole::Decode),
        _ => None,
    }
}
