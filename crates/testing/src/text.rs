//! Answers that a test can compute: the n-th token is a function of the prompt and n.

use serde_json::Value;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// The hash of a prompt, from which all of its tokens follow.
pub(crate) fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// The text of token `n` of the answer to a prompt.
pub(crate) fn token(prompt_hash: u64, n: u32) -> String {
    let bits = xxh3_64_with_seed(&n.to_le_bytes(), prompt_hash);
    format!(" {:05x}", bits & 0xf_ffff)
}

/// The text of the tokens `from..to` of the answer to a prompt.
pub fn answer(prompt: &str, from: u32, to: u32) -> String {
    let hash = prompt_hash(prompt);
    (from..to).map(|n| token(hash, n)).collect()
}

/// How many tokens a prompt has: its words.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.split_whitespace().count()
}

/// The prompt that stands for the messages of a chat request: one line a message.
pub fn chat_prompt(messages: &[Value]) -> String {
    let mut prompt = String::new();
    for message in messages {
        let role = message["role"].as_str().unwrap_or("user");
        let content = message["content"].as_str().unwrap_or_default();
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt
}
