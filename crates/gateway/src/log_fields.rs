//! Pairs of a line of log, and sums over them.

use crocushold_base::Millis;

/// The value of a pair; quoted values, which hold free text, aren't looked into.
pub(crate) fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The value of a pair that is a span, such as `12ms`.
pub(crate) fn millis(line: &str, name: &str) -> Option<Millis> {
    let text = field(line, name)?.strip_suffix("ms")?;
    text.parse().ok().map(Millis)
}

/// The value below which `part` of a hundred lie; zero without values.
pub(crate) fn percentile(sorted: &[Millis], part: usize) -> Millis {
    let last = sorted.len().saturating_sub(1);
    let place = (sorted.len() * part / 100).min(last);
    sorted.get(place).copied().unwrap_or_default()
}
