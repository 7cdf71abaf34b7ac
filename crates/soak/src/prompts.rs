//! Prompts of the callers, as far as requests have parts of them in common.

/// Parts of prompts that crash targets.
pub(crate) const DEADLY_PARTS: &[&str] = &["d00d", "dead"];
/// First parts, each shared by several callers.
const FIRST_PARTS: &[&str] = &["f1", "f2", "f3"];
/// Number of sessions with each first part.
const SESSIONS: usize = 4;
/// Number of requests before a caller goes on to another session.
const REQUESTS_IN_SESSION: usize = 5;
/// Of this many prompts of a caller, one is tainted.
const TAINTED_INTERVAL: usize = 4;

/// The parts of one request's prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    caller: usize,
    number: usize,
    deadly: Option<&'static str>,
}

impl Prompt {
    /// A prompt without a deadly part.
    pub(crate) fn sound(caller: usize, number: usize) -> Self {
        Self {
            caller,
            number,
            deadly: None,
        }
    }

    /// The next prompt of a caller while a number of parts may be added that crash targets.
    pub(crate) fn next(caller: usize, number: usize, deadly_parts: usize) -> Self {
        let prompt = Self::sound(caller, number);
        if deadly_parts == 0 || !number.is_multiple_of(TAINTED_INTERVAL) {
            return prompt;
        }
        let part = DEADLY_PARTS[(number / TAINTED_INTERVAL + caller) % deadly_parts];
        Self {
            deadly: Some(part),
            ..prompt
        }
    }

    /// The part that crashes targets, if any.
    pub(crate) fn deadly(&self) -> Option<&'static str> {
        self.deadly
    }

    /// The value of `Prompt-Prefix`.
    pub(crate) fn header(&self) -> String {
        let group = self.caller % FIRST_PARTS.len();
        let first = FIRST_PARTS[group];
        let session = self.number / REQUESTS_IN_SESSION % SESSIONS;
        let own = (self.caller << 20) + self.number;
        let mut parts = vec![format!("{first}:400"), format!("5{group}{session}:80")];
        if let Some(deadly) = self.deadly {
            // Before or after the session.
            parts.insert(
                1 + self.number / TAINTED_INTERVAL % 2,
                format!("{deadly}:60"),
            );
        }
        parts.push(format!("a{own:07x}:20"));
        parts.join(",")
    }
}
