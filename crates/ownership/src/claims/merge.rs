//! Merging the records that two members hold for one key.

use super::message::ClaimState;
use super::message::Record;

/// Merges two records without breaking a promise that either of them stands for.
///
/// Two different attempts that both may hold the key merge to `Unknown` without a claim. If one of
/// them were kept, its release would erase the record of the other and the key could be granted
/// twice.
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

/// For one attempt, the outcome reported by the claimant takes precedence over what a voter
/// assumed.
fn finality(state: ClaimState) -> u8 {
    match state {
        ClaimState::InProgress => 0,
        ClaimState::Unknown => 1,
        ClaimState::NotRun => 2,
        ClaimState::Done { .. } => 3,
    }
}
