//! Which members a member probes.
//!
//! Members are ordered by hash on several independent rings, and each probes its successor on each.
//! The graph is an expander: updates reach all in a logarithmic number of rounds, while a member
//! needs only a fixed number of connections, which last.

use std::collections::BTreeSet;

use twox_hash::XxHash3_64;

use crate::identity::InstanceId;

/// Number of rings; also the number of members that a member probes.
pub const RINGS: usize = 4;

/// Positions of a member on the rings.
pub(crate) type Positions = [u64; RINGS];

/// Hash of an instance's name under `seed`.
pub(crate) fn hash_id(seed: u64, id: &InstanceId) -> u64 {
    XxHash3_64::oneshot_with_seed(seed, id.as_str().as_bytes())
}

/// The positions of an instance.
pub(crate) fn positions(id: &InstanceId) -> Positions {
    std::array::from_fn(|ring| hash_id(ring as u64 + 1, id))
}

/// The successors of the member at `mine` among `others`, without doubles.
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
