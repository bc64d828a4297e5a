//! Roles of engines: as configured, as reported, and as ids in messages between instances.

use crocushold_config::Role;
use crocushold_ownership::RoleId;
use crocushold_platform::wire::EngineRole;

/// Whole requests: prefill and decode.
pub(super) const WHOLE: RoleId = RoleId(0);

const PREFILL: RoleId = RoleId(1);
const DECODE: RoleId = RoleId(2);

/// A role that this version doesn't know. It is never ordered.
const OTHER: RoleId = RoleId(u8::MAX);

/// The id of a configured role.
pub(super) fn configured_role(role: Role) -> RoleId {
    match role {
        Role::Both => WHOLE,
        Role::Prefill => PREFILL,
        Role::Decode => DECODE,
    }
}

/// The id of a role that an engine reports.
pub(super) fn reported_role(role: EngineRole) -> RoleId {
    match role {
        EngineRole::Both => WHOLE,
        EngineRole::Prefill => PREFILL,
        EngineRole::Decode => DECODE,
        EngineRole::Other => OTHER,
    }
}

/// The role for an order to an engine; `None` if it can't be ordered.
pub(super) fn ordered_role(role: RoleId) -> Option<EngineRole> {
    match role {
        WHOLE => Some(EngineRole::Both),
        PREFILL => Some(EngineRole::Prefill),
        DECODE => Some(EngineRole::Decode),
        _ => None,
    }
}
