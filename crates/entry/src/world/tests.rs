//! What the scheduler is told of a class.

use crocushold_base::Millis;
use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use test_case::test_case;

use super::class_spec;

const TEXT: &str = "\
[team clara]
format = 1

[service fleet]
kind = model

[server fleet/one]
address = 127.0.0.1:8000
zone = zone-a

[model fleet/m]
weights = 16 GB
servers = 1

[class streamed]
service = fleet
priority = 1
first-token = 350 ms
between-tokens = 80 ms
idempotent = yes

[class whole]
service = fleet
priority = 3
whole-answer = 10 s
idempotent = yes
";

// Callers of a whole answer see every answer come just after its target during overload: the
// scheduler starts each at the last moment that it takes for in time, and the work is still to come.
#[test_case("clara/streamed", Millis(350), Millis(1_400) ; "a stream starts by its first token")]
#[test_case("clara/whole", Millis(5_000), Millis(40_000) ; "a whole answer leaves time for its work")]
fn the_latest_start(name: &str, target: Millis, patience: Millis) {
    let mut catalog = Catalog::default();
    catalog.apply(&ConfigText::parse(TEXT));
    let mut classes = catalog.classes.iter();
    let (key, class) = classes.find(|(_, class)| class.name == name).unwrap();
    let spec = class_spec(key, class);
    assert_eq!(spec.target, target);
    assert_eq!(spec.max_wait, patience);
}
