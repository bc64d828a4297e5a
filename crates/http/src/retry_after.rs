//! The header `Retry-After` (RFC 9110, section 10.2.3).

use crocushold_base::Millis;
use http_types::Headers;
use http_types::headers::DATE;
use http_types::headers::RETRY_AFTER;

/// Returns how long the sender of a response wants no further requests; `None` if it doesn't say
/// so.
pub fn retry_after(headers: &Headers) -> Option<Millis> {
    let last = |name| headers.get(name).map(|values| values.last().as_str());
    parse_retry_after(last(RETRY_AFTER)?, last(DATE))
}

/// Parses a value of `Retry-After`: seconds, which may have a fraction, or a date.
///
/// A date is compared with the `date` of the response. Both come from the sender's clock, so a
/// wrong clock on this machine doesn't matter. Malformed and negative values, and a date that can't
/// be compared, give `None`. A fraction of a millisecond is rounded up, so that the delay isn't
/// shorter than the sender asked for.
pub fn parse_retry_after(value: &str, date: Option<&str>) -> Option<Millis> {
    let value = value.trim();
    if let Ok(seconds) = value.parse::<f64>() {
        let valid = seconds.is_finite() && seconds >= 0.0;
        return valid.then(|| Millis((seconds * Millis::PER_SECOND as f64).ceil() as u64));
    }
    let until = httpdate::parse_http_date(value).ok()?;
    let sent = httpdate::parse_http_date(date?.trim()).ok()?;
    let delay = until.duration_since(sent).ok()?;
    Some(Millis(delay.as_millis() as u64))
}
