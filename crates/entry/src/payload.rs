//! Decodes the bodies of language-model requests.
//!
//! Only the fields that decisions depend on are decoded. All others pass through as raw JSON, so an
//! image of several megabytes is scanned once and never copied into a tree.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;
use twox_hash::XxHash3_64;

/// Bytes of prompt text that identify a shared prefix; fixed by the protocol of cache events.
const PREFIX_BYTES: usize = 256;

/// Average number of bytes of prompt text per token, for an estimate until an engine has counted
/// the tokens.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum number of messages in a body.
///
/// A message of two bytes takes forty bytes of memory while it is decoded. Without this limit,
/// bodies of the allowed size would take many times the memory that was reserved for them.
const MAX_MESSAGES: usize = 16_384;

/// Maximum number of fields in a body, for the same reason.
const MAX_FIELDS: usize = 1_024;

quick_error! {
    /// Why a body could not be decoded.
    #[derive(Debug)]
    pub enum PayloadError {
        /// The body is not a JSON object, or a field has the wrong type.
        Json(err: serde_json::Error) {
            display("the body is not a valid request: {err}")
            from()
        }
        /// The body names no model.
        NoModel {
            display("the body has no field \"model\"")
        }
    }
}

/// The decoded fields of a language-model request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// The requested model.
    pub model: String,
    /// Whether the response is to be streamed as server-sent events.
    pub stream: bool,
    /// Maximum number of tokens to generate, as set by the caller.
    pub max_tokens: Option<u32>,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the prompt's prefix, if the prompt is long enough to share one.
    pub prefix: Option<u64>,
    /// Hashes of the parts of the prompt that other requests may have: all messages but the last, or
    /// the prefix of a single text.
    pub parts: Vec<u64>,
}

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    messages: Messages<'a>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

/// The messages of a body, at most [`MAX_MESSAGES`].
#[derive(Default)]
struct Messages<'a>(Vec<Message<'a>>);

impl<'de: 'a, 'a> Deserialize<'de> for Messages<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Messages<'a>, D::Error> {
        deserializer.deserialize_seq(MessagesVisitor).map(Messages)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Vec<Message<'de>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_MESSAGES} messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut all = Vec::new();
        while let Some(message) = seq.next_element()? {
            if all.len() == MAX_MESSAGES {
                return Err(A::Error::invalid_length(all.len() + 1, &self));
            }
            all.push(message);
        }
        Ok(all)
    }
}

/// All fields of a body, at most [`MAX_FIELDS`].
struct AllFields<'a>(BTreeMap<Cow<'a, str>, &'a RawValue>);

impl<'de: 'a, 'a> Deserialize<'de> for AllFields<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<AllFields<'a>, D::Error> {
        deserializer.deserialize_map(FieldsVisitor).map(AllFields)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = BTreeMap<Cow<'de, str>, &'de RawValue>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an object of at most {MAX_FIELDS} fields")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut all = BTreeMap::new();
        while let Some((name, value)) = map.next_entry()? {
            if all.len() == MAX_FIELDS {
                return Err(A::Error::invalid_length(all.len() + 1, &self));
            }
            all.insert(name, value);
        }
        Ok(all)
    }
}

/// Decodes a prompt that is a string. Any other prompt (content parts, token numbers) is returned
/// as raw JSON.
fn decode_text(raw: &RawValue) -> Cow<'_, str> {
    serde_json::from_str(raw.get()).unwrap_or(Cow::Borrowed(raw.get()))
}

impl Payload {
    /// Decodes the body of a chat or text completion request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a JSON object of the expected form, or has no field
    /// `model`.
    pub fn decode(body: &[u8]) -> Result<Payload, PayloadError> {
        let fields: Fields<'_> = serde_json::from_slice(body)?;
        let texts = prompt_texts(&fields);
        let model = fields.model.ok_or(PayloadError::NoModel)?;
        let bytes: usize = texts.iter().map(|text| text.len()).sum();
        Ok(Payload {
            model: model.into_owned(),
            stream: fields.stream.unwrap_or(false),
            max_tokens: fields.max_tokens.or(fields.max_completion_tokens),
            prompt_tokens: u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            prefix: prefix_hash(&texts),
            parts: part_hashes(&texts),
        })
    }
}

/// Sets the field `priority` of the body and replaces the caller's value: a caller must not be able
/// to raise its own priority at the engine.
///
/// # Errors
///
/// Returns an error if the body is not a JSON object.
pub fn set_priority(body: &[u8], priority: u8) -> Result<Vec<u8>, PayloadError> {
    let AllFields(mut fields) = serde_json::from_slice(body)?;
    let value = RawValue::from_string(priority.to_string())?;
    fields.insert(Cow::Borrowed("priority"), &value);
    Ok(serde_json::to_vec(&fields)?)
}

fn prompt_texts<'a>(fields: &Fields<'a>) -> Vec<Cow<'a, str>> {
    let contents = fields
        .messages
        .0
        .iter()
        .filter_map(|message| message.content);
    contents.chain(fields.prompt).map(decode_text).collect()
}

fn part_hashes(texts: &[Cow<'_, str>]) -> Vec<u64> {
    match texts {
        [] => Vec::new(),
        [text] => prefix_hash(std::slice::from_ref(text))
            .into_iter()
            .collect(),
        [common @ .., _] => {
            let hashes = common.iter();
            hashes
                .map(|text| XxHash3_64::oneshot(text.as_bytes()))
                .collect()
        }
    }
}

fn prefix_hash(texts: &[Cow<'_, str>]) -> Option<u64> {
    let mut head = Vec::with_capacity(PREFIX_BYTES);
    for text in texts {
        let room = PREFIX_BYTES - head.len();
        head.extend_from_slice(&text.as_bytes()[..text.len().min(room)]);
    }
    (head.len() == PREFIX_BYTES).then(|| XxHash3_64::oneshot(&head))
}
