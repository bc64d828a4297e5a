//! The graph of services and what they depend on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::decl::ServiceDecl;

/// Services by full name, with the full names that they depend on.
pub(crate) struct Graph<'a> {
    edges: BTreeMap<&'a str, &'a [String]>,
}

impl<'a> Graph<'a> {
    pub(crate) fn new(services: impl IntoIterator<Item = &'a ServiceDecl>) -> Graph<'a> {
        let edges = services.into_iter();
        Graph {
            edges: edges.map(|s| (s.name.as_str(), &s.depends[..])).collect(),
        }
    }

    /// Whether a chain of dependencies leads from one service to another.
    pub(crate) fn reaches(&self, from: &str, to: &str) -> bool {
        let mut seen = BTreeSet::from([from]);
        let mut open = vec![from];
        while let Some(name) = open.pop() {
            if name == to {
                return true;
            }
            let next = self.edges.get(name).copied().unwrap_or_default();
            open.extend(next.iter().map(String::as_str).filter(|n| seen.insert(n)));
        }
        false
    }

    /// Whether a service's name sorts first on every cycle through it, so that a cycle is reported
    /// once.
    pub(crate) fn is_first(&self, name: &str) -> bool {
        let mut earlier = self.edges.keys().take_while(|other| **other < name);
        !earlier.any(|other| self.reaches(name, other) && self.reaches(other, name))
    }
}
