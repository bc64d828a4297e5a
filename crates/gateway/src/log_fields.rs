//! Parsing of the `key=value` pairs of log lines, and percentiles of their values.

use crocushold_base::Millis;

/// Value of the field `name`. Quoted values, which hold free text, aren't supported.
pub(crate) fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Value of a duration field such as `12ms`.
pub(crate) fn millis(line: &str, name: &str) -> Option<Millis> {
    let text = field(line, name)?.strip_suffix("ms")?;
    text.parse().ok().map(Millis)
}

/// The given percentile of sorted values; zero if there are none.
pub(crate) fn percentile(sorted: &[Millis], percent: usize) -> Millis {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() * percent / 100).min(last);
    sorted.get(index).copied().unwrap_or_default()
}
