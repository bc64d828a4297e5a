//! Choice of the members that a member probes.
//!
//! Members are ordered by hash on several independent rings, and each member probes its successor
//! on each ring. The graph is an expander: updates reach all members in a logarithmic number of
//! rounds, while each member needs only a fixed number of long-lived connections.

use std::collections::BTreeSet;

use twox_hash::XxHash3_64;

use crate::identity::InstanceId;

/// Number of rings, which is the maximum number of members that a member probes.
pub const RINGS: usize = 4;

/// Positions of a member on the rings.
pub(crate) type Positions = [u64; RINGS];

/// Hashes an instance's name with `seed`.
pub(crate) fn hash_id(seed: u64, id: &InstanceId) -> u64 {
    XxHash3_64::oneshot_with_seed(seed, id.as_str().as_bytes())
}

/// Returns the positions of an instance.
pub(crate) fn positions(id: &InstanceId) -> Positions {
    std::array::from_fn(|ring| hash_id(ring as u64 + 1, id))
}

/// Returns the distinct successors of the member at `mine` among `others`.
pub(crate) fn successors<'a>(
    mine: &Positions,
    others: impl Iterator<Item = (&'a InstanceId, &'a Positions)>,
) -> Vec<InstanceId> {
    let mut nearest: [Option<(u64, &InstanceId)>; RINGS] = [None; RINGS];
    for (id, theirs) in others {
        for ring in 0..RINGS {
            let distance = theirs[ring].wrapping_sub(mine[ring]);
            if nearest[ring].is_none_or(|(least, _)| distance < least) {
                nearest[ring] = Some((distance, id));
            }
        }
    }
    let chosen: BTreeSet<&InstanceId> = nearest.iter().flatten().map(|(_, id)| *id).collect();
    chosen.into_iter().cloned().collect()
}
