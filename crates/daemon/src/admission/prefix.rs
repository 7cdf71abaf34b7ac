//! Hashes of prompt prefixes, by which the router finds a target with a warm cache.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;
use yuccaseam_route::prefix_chain;

/// Hashes of the prefixes of a request's prompt or messages. Words stand in for tokens, because
/// only shared prefixes matter.
pub(crate) fn prompt_prefix_hashes(body: &Value) -> Vec<u64> {
    let mut words = Vec::new();
    match &body["prompt"] {
        Value::String(prompt) => add_words(prompt, &mut words),
        _ => add_messages(&body["messages"], &mut words),
    }
    prefix_chain(&words)
}

fn add_messages(messages: &Value, words: &mut Vec<u32>) {
    for message in messages.as_array().into_iter().flatten() {
        for part in ["role", "content"] {
            if let Some(text) = message[part].as_str() {
                add_words(text, words);
            }
        }
    }
}

fn add_words(text: &str, words: &mut Vec<u32>) {
    let hashes = text
        .split_whitespace()
        .map(|word| xxh3_64(word.as_bytes()) as u32);
    words.extend(hashes);
}
