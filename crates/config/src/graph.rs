//! The graph of services and what they depend on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::decl::ServiceDecl;

/// Services by full name, with everything that they depend on, at first hand or further on.
pub(crate) struct Graph<'a> {
    reachable: BTreeMap<&'a str, BTreeSet<&'a str>>,
}

type Edges<'a> = BTreeMap<&'a str, &'a [String]>;

impl<'a> Graph<'a> {
    pub(crate) fn new(services: impl IntoIterator<Item = &'a ServiceDecl>) -> Graph<'a> {
        let edges = services.into_iter();
        let edges: Edges<'a> = edges.map(|s| (s.name.as_str(), &s.depends[..])).collect();
        let names = edges.keys().copied();
        Graph {
            reachable: names.map(|name| (name, closure(&edges, name))).collect(),
        }
    }

    /// Whether a chain of dependencies leads from one service to another.
    pub(crate) fn reaches(&self, from: &str, to: &str) -> bool {
        let further = self.reachable.get(from);
        from == to || further.is_some_and(|further| further.contains(to))
    }

    /// Whether a service's name sorts first on every cycle through it, so that a cycle is reported
    /// once.
    pub(crate) fn is_first(&self, name: &str) -> bool {
        let mut earlier = self.reachable.keys().take_while(|other| **other < name);
        !earlier.any(|other| self.reaches(name, other) && self.reaches(other, name))
    }
}

fn closure<'a>(edges: &Edges<'a>, start: &'a str) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    let mut open = vec![start];
    while let Some(name) = open.pop() {
        let next = edges.get(name).copied().unwrap_or_default();
        open.extend(next.iter().map(String::as_str).filter(|n| seen.insert(*n)));
    }
    seen
}
