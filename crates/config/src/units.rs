//! Parsers for values such as durations, shares, rates and sizes.
//!
//! The error of each parser says what to write instead, for use in a finding.

use std::net::SocketAddr;

use quick_error::quick_error;

use crocushold_base::Millis;

use crate::digest::KeyDigest;
use crate::model::CallPattern;
use crate::model::Priority;
use crate::model::Role;
use crate::model::Share;

/// Maximum number of entries in a list.
pub(crate) const MAX_LIST: usize = 64;

/// Maximum length of the name of a team, service, server, class, account or model, in bytes.
pub(crate) const MAX_NAME: usize = 64;

/// Longest duration, in milliseconds: one day. A longer one is most likely a wrong unit.
const MAX_DURATION: u64 = 24 * 60 * 60 * 1000;

quick_error! {
    /// Why a value is invalid, and what to write instead.
    #[derive(Debug, Clone, PartialEq, Eq)]
    // The macro doesn't support `pub(crate)`; the module is private.
    #[allow(unreachable_pub)]
    pub enum ValueError {
        Duration(value: String) {
            display("{value:?} is no duration; write a whole number and a unit (ms, s, min, h), \
                     such as 350 ms, up to 24 h")
        }
        Share(value: String) {
            display("{value:?} is no share; write a number from 0 to 100 and the sign %, such as 5 %")
        }
        Rate(value: String, unit: &'static str) {
            display("{value:?} is no rate; write a whole number and the unit, such as 50{unit}")
        }
        Size(value: String) {
            display("{value:?} is no size; write a whole number and a unit (KiB, MiB, GiB, KB, MB, \
                     GB), such as 16 GB")
        }
        Count(value: String, least: u32, most: u32) {
            display("{value:?} is out of range; write a whole number from {least} to {most}, \
                     without a unit")
        }
        Flag(value: String) {
            display("{value:?} is neither yes nor no; write yes or no")
        }
        Role(value: String) {
            display("{value:?} is no role; write both, prefill or decode")
        }
        Address(value: String) {
            display("{value:?} is no address; write an IP number and a port, such as 10.0.0.7:8000")
        }
        Priority(value: String) {
            display("{value:?} is no priority; write a whole number from 1 (served first) to 5")
        }
        // The message omits the value, which may be a key that was put there by mistake.
        Digest {
            display("the value is no digest; write the 64 hexadecimal digits that \
                     `printf %s KEY | sha256sum` prints")
        }
        Prefix(value: String) {
            display("{value:?} is no prefix; write a path such as /booking, with no slash at the \
                     end, and not /v1, which belongs to the model services")
        }
        Call(value: String) {
            display("{value:?} is no call; write a method and a path, such as POST /booking/slots/*")
        }
        Name(value: String) {
            display("{value:?} is no name; write up to 64 letters, digits, '-', '_', '.', ':'")
        }
        Empty {
            display("the value is empty; write a value or leave the key out")
        }
        TooLong {
            display("the list is too long; write at most {} entries", MAX_LIST)
        }
    }
}

/// Parses a positive duration, such as `350 ms`, `10 s`, `5 min` or `1 h`.
pub(crate) fn duration(value: &str) -> Result<Millis, ValueError> {
    let fail = || ValueError::Duration(value.to_owned());
    let (number, unit) = split_unit(value).ok_or_else(fail)?;
    let factor = match unit {
        "ms" => 1,
        "s" => 1000,
        "min" => 60 * 1000,
        "h" => 60 * 60 * 1000,
        _ => return Err(fail()),
    };
    let millis = number.checked_mul(factor).ok_or_else(fail)?;
    if millis == 0 || millis > MAX_DURATION {
        return Err(fail());
    }
    Ok(Millis(millis))
}

/// Parses a role: `both`, `prefill` or `decode`.
pub(crate) fn role(value: &str) -> Result<Role, ValueError> {
    match value {
        "both" => Ok(Role::Both),
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        _ => Err(ValueError::Role(value.to_owned())),
    }
}

/// Parses a share, such as `5 %` or `99.95 %`.
pub(crate) fn share(value: &str) -> Result<Share, ValueError> {
    let fail = || ValueError::Share(value.to_owned());
    let number = value.strip_suffix('%').ok_or_else(fail)?.trim_end();
    let (whole, rest) = number.split_once('.').unwrap_or((number, "0"));
    if rest.len() > 2 || !is_digits(whole) || !is_digits(rest) {
        return Err(fail());
    }
    let whole: u32 = whole.parse().map_err(|_| fail())?;
    let hundredths: u32 = format!("{rest:0<2}").parse().map_err(|_| fail())?;
    let share = Share(whole.saturating_mul(100).saturating_add(hundredths));
    if share > Share::WHOLE {
        return Err(fail());
    }
    Ok(share)
}

/// Parses a positive rate with the given unit, such as `50/s` or `6/min`.
pub(crate) fn rate(value: &str, unit: &'static str) -> Result<u32, ValueError> {
    let fail = || ValueError::Rate(value.to_owned(), unit);
    let number = value.strip_suffix(unit).ok_or_else(fail)?.trim_end();
    if !is_digits(number) {
        return Err(fail());
    }
    match number.parse() {
        Ok(rate) if rate > 0 => Ok(rate),
        _ => Err(fail()),
    }
}

/// Parses a positive size, such as `512 MiB` or `16 GB`, into bytes.
pub(crate) fn size(value: &str) -> Result<u64, ValueError> {
    let fail = || ValueError::Size(value.to_owned());
    let (number, unit) = split_unit(value).ok_or_else(fail)?;
    let factor = match unit {
        "KB" => 1_000,
        "MB" => 1_000_000,
        "GB" => 1_000_000_000,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return Err(fail()),
    };
    let bytes = number.checked_mul(factor).ok_or_else(fail)?;
    if bytes == 0 {
        return Err(fail());
    }
    Ok(bytes)
}

/// Parses an integer from `least` to `most`.
pub(crate) fn count(value: &str, least: u32, most: u32) -> Result<u32, ValueError> {
    let fail = || ValueError::Count(value.to_owned(), least, most);
    if !is_digits(value) {
        return Err(fail());
    }
    let number: u32 = value.parse().map_err(|_| fail())?;
    if !(least..=most).contains(&number) {
        return Err(fail());
    }
    Ok(number)
}

/// Parses `yes` or `no`.
pub(crate) fn flag(value: &str) -> Result<bool, ValueError> {
    match value {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(ValueError::Flag(value.to_owned())),
    }
}

/// Parses an IP address with a port.
pub(crate) fn address(value: &str) -> Result<SocketAddr, ValueError> {
    value
        .parse()
        .map_err(|_| ValueError::Address(value.to_owned()))
}

/// Parses a priority from 1 to 5.
pub(crate) fn priority(value: &str) -> Result<Priority, ValueError> {
    let fail = || ValueError::Priority(value.to_owned());
    if !is_digits(value) {
        return Err(fail());
    }
    let tier: u8 = value.parse().map_err(|_| fail())?;
    Priority::new(tier).ok_or_else(fail)
}

/// Parses a hexadecimal digest.
pub(crate) fn digest(value: &str) -> Result<KeyDigest, ValueError> {
    KeyDigest::from_hex(value).ok_or(ValueError::Digest)
}

/// Parses the path prefix of a plain service.
pub(crate) fn prefix(value: &str) -> Result<String, ValueError> {
    let fail = || ValueError::Prefix(value.to_owned());
    let rest = value.strip_prefix('/').ok_or_else(fail)?;
    let reserved = rest.split('/').next() == Some("v1");
    if reserved || !rest.split('/').all(is_segment) {
        return Err(fail());
    }
    Ok(value.to_owned())
}

/// Parses a method and a path pattern.
pub(crate) fn call(value: &str) -> Result<CallPattern, ValueError> {
    let fail = || ValueError::Call(value.to_owned());
    let (method, path) = value.split_once(' ').ok_or_else(fail)?;
    let rest = path.trim_start().strip_prefix('/').ok_or_else(fail)?;
    let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    let segments: Vec<&str> = rest.split('/').collect();
    if !is_method || !segments.iter().all(|s| *s == "*" || is_segment(s)) {
        return Err(fail());
    }
    Ok(CallPattern {
        method: method.to_owned(),
        segments: segments.into_iter().map(str::to_owned).collect(),
    })
}

/// Parses a name, which has no slashes.
pub(crate) fn name(value: &str) -> Result<String, ValueError> {
    if !is_name(value) {
        return Err(ValueError::Name(value.to_owned()));
    }
    Ok(value.to_owned())
}

/// Parses a model's name, which is one or more names separated by slashes.
pub(crate) fn model_id(value: &str) -> Result<String, ValueError> {
    if value.len() > MAX_NAME || !value.split('/').all(is_name) {
        return Err(ValueError::Name(value.to_owned()));
    }
    Ok(value.to_owned())
}

/// Parses a reference, `NAME` in the same team or `TEAM/NAME`, into the full name.
pub(crate) fn reference(team: &str, value: &str) -> Result<String, ValueError> {
    let (owner, short) = value.split_once('/').unwrap_or((team, value));
    if !is_name(owner) || !is_name(short) {
        return Err(ValueError::Name(value.to_owned()));
    }
    Ok(format!("{owner}/{short}"))
}

/// Parses a comma-separated list with the parser `read` for each item.
pub(crate) fn list<T>(
    value: &str,
    read: impl Fn(&str) -> Result<T, ValueError>,
) -> Result<Vec<T>, ValueError> {
    let items: Vec<&str> = value.split(',').map(str::trim).collect();
    if items.len() > MAX_LIST {
        return Err(ValueError::TooLong);
    }
    items.into_iter().map(read).collect()
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    !text.is_empty() && text.len() <= MAX_NAME && text.bytes().all(allowed)
}

/// Whether the text is a path segment. Percent escapes aren't allowed, so that segments can be
/// compared byte by byte.
fn is_segment(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:@".contains(&b);
    let is_dot_segment = text == "." || text == "..";
    !text.is_empty() && !is_dot_segment && text.bytes().all(allowed)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

fn split_unit(value: &str) -> Option<(u64, &str)> {
    let end = value.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = value.split_at(end);
    Some((number.parse().ok()?, unit.trim_start()))
}
