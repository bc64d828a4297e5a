//! Compares the targets of a class with those of its service's dependencies.

use crate::decl::ClassDecl;
use crate::model::short_name;

/// Returns a message if no class of a dependency has a shorter target than `class`.
pub(crate) fn slow_dependency<'a>(
    class: &ClassDecl,
    dependency: &str,
    classes: impl IntoIterator<Item = &'a ClassDecl>,
) -> Option<String> {
    let own = class.targets.whole_answer.or(class.targets.first_token)?;
    let candidates = classes.into_iter().filter(|c| c.service == dependency);
    let shortest = candidates.filter_map(|c| c.targets.earliest()).min()?;
    let message = format!(
        "the service depends on {}, whose soonest target is {shortest}; write more than that here, \
         or a shorter target there",
        short_name(dependency)
    );
    (shortest >= own).then_some(message)
}

/// Returns the key of the target that is compared with those of dependencies.
pub(crate) fn target_key(class: &ClassDecl) -> &'static str {
    match class.targets.whole_answer {
        Some(_) => "whole-answer",
        None => "first-token",
    }
}
