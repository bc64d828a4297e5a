//! Whether a class's targets leave room for what its service depends on.

use crate::decl::ClassDecl;
use crate::model::short_name;

/// What is wrong when every class of a dependency may answer later than `class` has to.
pub(crate) fn late_dependency<'a>(
    class: &ClassDecl,
    dependency: &str,
    classes: impl IntoIterator<Item = &'a ClassDecl>,
) -> Option<String> {
    let own = class.targets.whole_answer.or(class.targets.first_token)?;
    let theirs = classes.into_iter().filter(|c| c.service == dependency);
    let soonest = theirs.filter_map(|c| c.targets.earliest()).min()?;
    let message = format!(
        "the service depends on {}, whose soonest target is {soonest}; write more than that here, \
         or a shorter target there",
        short_name(dependency)
    );
    (soonest >= own).then_some(message)
}

/// The key that holds the target by which a class's dependencies are judged.
pub(crate) fn target_key(class: &ClassDecl) -> &'static str {
    match class.targets.whole_answer {
        Some(_) => "whole-answer",
        None => "first-token",
    }
}
