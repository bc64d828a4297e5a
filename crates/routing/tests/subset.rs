//! Tests of the evenness and churn of subsets.

use crocushold_routing::coverage;
use crocushold_routing::subset;
use test_case::test_case;

fn ids(count: u64, salt: u64) -> Vec<u64> {
    (0..count).map(|at| at * 1_000_003 + salt).collect()
}

/// The subsets of all instances.
fn all(servers: &[u64], instances: &[u64], want: usize) -> Vec<Vec<usize>> {
    let of = |&me| subset(servers, instances, me, want);
    instances.iter().map(of).collect()
}

/// Guards against servers with too few senders, which are idle while others overflow, and against
/// instances without servers for a model, which refuse all its requests.
#[test_case(20, 8, 20 ; "a small fleet in full")]
#[test_case(20, 8, 6 ; "a small fleet in part")]
#[test_case(151, 100, 8 ; "one model of a large fleet")]
fn covers_servers_evenly(servers: u64, instances: u64, want: usize) {
    let servers = ids(servers, 1);
    let instances = ids(instances, 2);
    let subsets = all(&servers, &instances, want);
    let mut covered = vec![0; servers.len()];
    subsets.iter().flatten().for_each(|&at| covered[at] += 1);
    let expected = coverage(servers.len(), instances.len(), want);
    assert!(
        covered.iter().all(|&count| count == expected),
        "{covered:?}"
    );
    let least = subsets.iter().map(Vec::len).min().unwrap_or(0);
    assert!(least * 2 >= want, "{least}");
}

#[test]
fn order_does_not_matter() {
    let servers = ids(50, 1);
    let mut instances = ids(20, 2);
    let me = instances[3];
    let before = subset(&servers, &instances, me, 8);
    instances.reverse();
    assert_eq!(before, subset(&servers, &instances, me, 8));
    instances.retain(|&id| id != me);
    assert_eq!(before, subset(&servers, &instances, me, 8));
}

/// Each change of a subset costs connections and warm caches. When one of a hundred instances
/// leaves, little more than its own hundredth should move.
#[test]
fn one_instance_leaving_moves_little() {
    let servers = ids(151, 1);
    let instances = ids(100, 2);
    let before = all(&servers, &instances[1..], 8);
    let after = all(&servers, &instances, 8);
    let pairs = before.iter().zip(&after[1..]);
    let moved: usize = pairs
        .map(|(b, a)| a.iter().filter(|at| !b.contains(at)).count())
        .sum();
    let total: usize = before.iter().map(Vec::len).sum();
    assert!(moved * 10 < total, "{moved} of {total}");
}
