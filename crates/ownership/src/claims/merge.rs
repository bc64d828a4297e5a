//! Joining two members' records of one key.

use super::message::ClaimState;
use super::message::Record;

/// The record that keeps every promise that either of the two keeps.
///
/// Two tries that both may hold the key leave `Unknown` without an owner: had one of them been kept,
/// its release would wipe out the other's record and the key could be granted twice.
pub(super) fn merge(own: Record, other: Record) -> Record {
    if own.claim.is_some() && own.claim == other.claim {
        return if finality(other.state) > finality(own.state) {
            other
        } else {
            own
        };
    }
    match (own.state, other.state) {
        (ClaimState::Done { .. }, _) => own,
        (_, ClaimState::Done { .. }) => other,
        (ClaimState::NotRun, _) => other,
        (_, ClaimState::NotRun) => own,
        _ => Record {
            claim: None,
            state: ClaimState::Unknown,
            time: own.time.max(other.time),
            ..own
        },
    }
}

/// Within one try, what the claimant reported stands above what a voter supposes.
fn finality(state: ClaimState) -> u8 {
    match state {
        ClaimState::InProgress => 0,
        ClaimState::Unknown => 1,
        ClaimState::NotRun => 2,
        ClaimState::Done { .. } => 3,
    }
}
