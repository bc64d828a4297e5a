//! Checks of a response's tokens: that they belong to the request and are in order.

/// Maximum number of digits parsed of a token's index.
const MAX_DIGITS: usize = 9;

/// Checks the tokens of a response.
#[derive(Debug)]
pub(super) struct TokenChecker {
    prefix: Vec<u8>,
    count: u64,
    foreign: bool,
    disordered: bool,
}

impl TokenChecker {
    /// Creates a checker for tokens of the request with this marker.
    pub(super) fn new(marker: &str) -> TokenChecker {
        TokenChecker {
            prefix: format!("{marker} ").into_bytes(),
            count: 0,
            foreign: false,
            disordered: false,
        }
    }

    pub(super) fn count(&self) -> u64 {
        self.count
    }

    pub(super) fn is_foreign(&self) -> bool {
        self.foreign
    }

    pub(super) fn is_disordered(&self) -> bool {
        self.disordered
    }

    /// Checks an event, which contains at most one token.
    pub(super) fn check_event(&mut self, json: &[u8]) {
        if let Some(text) = content(json) {
            self.check_token(text);
        }
    }

    /// Checks the body of a response that isn't streamed.
    pub(super) fn check_body(&mut self, json: &[u8]) {
        let Some(mut rest) = content(json) else {
            self.disordered = true;
            return;
        };
        while rest.first().is_some_and(|&b| b != b'"') {
            rest = self.check_token(rest);
        }
    }

    /// Checks a token `MARKER INDEX ` at the start of `text`; returns the rest.
    fn check_token<'a>(&mut self, text: &'a [u8]) -> &'a [u8] {
        let expected = self.count;
        self.count += 1;
        let Some(rest) = text.strip_prefix(self.prefix.as_slice()) else {
            self.foreign = true;
            return &[];
        };
        let is_digit = |b: &&u8| b.is_ascii_digit();
        let digits = rest.iter().take_while(is_digit).take(MAX_DIGITS).count();
        let append_digit = |n, b: &u8| n * 10 + u64::from(b - b'0');
        let number = rest[..digits].iter().fold(0, append_digit);
        self.disordered |= digits == 0 || number != expected;
        rest.get(digits + 1..).unwrap_or(&[])
    }
}

/// Returns what follows the opening quote of the response text, or `None` if there is no text.
fn content(json: &[u8]) -> Option<&[u8]> {
    let text = std::str::from_utf8(json).ok()?;
    let after = |key: &str| text.find(key).map(|at| &text[at + key.len()..]);
    let found = after("\"content\":\"").or_else(|| after("\"text\":\""))?;
    (!found.starts_with('"')).then_some(found.as_bytes())
}
