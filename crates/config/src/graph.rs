//! The dependency graph of services.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::decl::ServiceDecl;

/// Services by full name, with their direct and transitive dependencies.
pub(crate) struct ServiceGraph<'a> {
    dependencies: BTreeMap<&'a str, BTreeSet<&'a str>>,
}

type Edges<'a> = BTreeMap<&'a str, &'a [String]>;

impl<'a> ServiceGraph<'a> {
    pub(crate) fn new(services: impl IntoIterator<Item = &'a ServiceDecl>) -> ServiceGraph<'a> {
        let edges = services.into_iter();
        let edges: Edges<'a> = edges.map(|s| (s.name.as_str(), &s.depends[..])).collect();
        let names = edges.keys().copied();
        ServiceGraph {
            dependencies: names
                .map(|name| (name, dependencies_of(&edges, name)))
                .collect(),
        }
    }

    /// Whether `to` is `from` itself or one of its direct or transitive dependencies.
    pub(crate) fn reaches(&self, from: &str, to: &str) -> bool {
        let dependencies = self.dependencies.get(from);
        from == to || dependencies.is_some_and(|dependencies| dependencies.contains(to))
    }

    /// Whether a service's name sorts first on every cycle through it. Used to report each cycle
    /// once.
    pub(crate) fn is_first_on_cycles(&self, name: &str) -> bool {
        let mut earlier = self.dependencies.keys().take_while(|other| **other < name);
        !earlier.any(|other| self.reaches(name, other) && self.reaches(other, name))
    }
}

fn dependencies_of<'a>(edges: &Edges<'a>, start: &'a str) -> BTreeSet<&'a str> {
    let mut seen = BTreeSet::new();
    let mut stack = vec![start];
    while let Some(name) = stack.pop() {
        let next = edges.get(name).copied().unwrap_or_default();
        stack.extend(next.iter().map(String::as_str).filter(|n| seen.insert(*n)));
    }
    seen
}
