//! How a class of the configuration is mapped to the scheduler.

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

// Under overload the scheduler starts each request at the last moment that it considers in time. If
// the start target of a class with a whole-response target left no time for the work, every
// response would arrive just after its target.
#[test_case("clara/streamed", Millis(350), Millis(1_400) ; "a stream: the target of the first token")]
#[test_case("clara/whole", Millis(5_000), Millis(40_000) ; "a whole response: half of its target")]
fn a_class_sets_start_target_and_max_wait(name: &str, target: Millis, max_wait: Millis) {
    let mut catalog = Catalog::default();
    catalog.apply(&ConfigText::parse(TEXT));
    let mut classes = catalog.classes.iter();
    let (key, class) = classes.find(|(_, class)| class.name == name).unwrap();
    let spec = class_spec(key, class);
    assert_eq!(spec.target, target);
    assert_eq!(spec.max_wait, max_wait);
}
