//! Bodies of chat requests, in the format of the OpenAI API.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::error::{ApiError, ErrorKind, Result};

const BYTES_PER_TOKEN: usize = 4;
const TOKENS_PER_MESSAGE: u64 = 4; // role and separators
const DEFAULT_MAX_TOKENS: u64 = 256;
const PREFIX_BYTES: usize = 2048;

/// A message of a chat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Plain text; content parts are not supported.
    pub content: String,
}

impl ChatMessage {
    /// Estimated length in tokens, at 4 bytes a token.
    pub fn tokens(&self) -> u64 {
        (self.content.len().div_ceil(BYTES_PER_TOKEN)) as u64 + TOKENS_PER_MESSAGE
    }
}

/// A chat request; other fields of the body are passed on to the target unchanged.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatBody {
    /// Name of a model from the table.
    pub model: String,
    /// At least one message, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate; 256 if the caller sets none.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        alias = "max_completion_tokens"
    )]
    pub max_tokens: Option<u64>,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Whether the last message is the start of the answer, to be continued.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continue_final_message: bool,
    /// Fields that this entry does not read.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

impl ChatBody {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not a chat request, has no messages or asks for 0 tokens.
    ///
    /// ```
    /// use plantainnotch::entry::chat::ChatBody;
    /// assert!(ChatBody::parse(br#"{"model":"m","messages":[{"role":"user","content":"a"}]}"#).is_ok());
    /// assert!(ChatBody::parse(b"{").is_err());
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        let bad_request = |message: String| ApiError::not_run(ErrorKind::BadRequest, message);
        let body: Self = serde_json::from_slice(bytes).map_err(|error| {
            bad_request(format!("the body is not a chat request: {error}; send JSON with `model` and `messages`, each with `role` and text `content`"))
        })?;
        if body.messages.is_empty() {
            return Err(bad_request("`messages` is empty; send at least one".into()));
        }
        if body.max_tokens == Some(0) {
            return Err(bad_request("`max_tokens` is 0; ask for at least 1".into()));
        }
        Ok(body)
    }

    /// The caller's `max_tokens`, or else the default.
    pub fn max_output(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// The messages without the answer that is to be continued.
    pub fn prompt_messages(&self) -> &[ChatMessage] {
        match self.messages.split_last() {
            Some((last, rest)) if self.continue_final_message && last.role == "assistant" => rest,
            _ => &self.messages,
        }
    }

    /// Length of the answer that is to be continued, with each word counted as a token, which holds
    /// for the fake engines; 0 if there is none.
    pub fn continued_tokens(&self) -> u64 {
        if self.prompt_messages().len() == self.messages.len() {
            return 0;
        }
        let last = self.messages.last().map_or("", |last| &last.content);
        last.split_whitespace().count() as u64
    }

    /// Hash of the start of the prompt: 2,048 bytes at most, and no further than the system message.
    /// Routing uses it to find targets that have the prefix cached.
    pub fn prefix_hash(&self) -> u64 {
        let mut prompt_start = Vec::with_capacity(PREFIX_BYTES);
        for message in &self.messages {
            let remaining_bytes = PREFIX_BYTES - prompt_start.len();
            prompt_start.extend(message.content.bytes().take(remaining_bytes));
            if prompt_start.len() == PREFIX_BYTES || message.role == "system" {
                break;
            }
        }
        xxh3_64(&prompt_start)
    }

    /// The body to send to a target. A non-empty `answer` is what earlier attempts have generated;
    /// the target continues it.
    pub fn target_body(&self, answer: &str) -> Vec<u8> {
        let continuation = ChatMessage {
            role: "assistant".to_owned(),
            content: answer.to_owned(),
        };
        let continued = (!answer.is_empty()).then_some(&continuation);
        let body = TargetBody {
            model: &self.model,
            messages: self.messages.iter().chain(continued).collect(),
            max_tokens: self.max_output(),
            stream: true,
            continue_final_message: self.continue_final_message || continued.is_some(),
            rest: &self.rest,
        };
        serde_json::to_vec(&body).expect("a chat body holds only plain data")
    }
}

/// A [`ChatBody`] as a target receives it, without a copy of the prompt.
#[derive(Serialize)]
struct TargetBody<'a> {
    model: &'a str,
    messages: Vec<&'a ChatMessage>,
    max_tokens: u64,
    stream: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    continue_final_message: bool,
    #[serde(flatten)]
    rest: &'a serde_json::Map<String, serde_json::Value>,
}

/// Number of values in a JSON text, and a few more: each begins with a bracket or follows a comma.
///
/// ```
/// use plantainnotch::entry::chat::value_count;
/// assert_eq!(value_count(br#"{"a":[1,2,3],"b":",,\",["}"#), 5);
/// ```
pub fn value_count(json: &[u8]) -> usize {
    let mut count = 0;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in json {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b',' | b'{' | b'[' if !is_in_string => count += 1,
            _ => {}
        }
    }
    count
}

/// Estimated length of a prompt, in tokens, without an answer that is to be continued.
pub fn prompt_tokens(body: &ChatBody) -> u64 {
    body.prompt_messages().iter().map(ChatMessage::tokens).sum()
}
