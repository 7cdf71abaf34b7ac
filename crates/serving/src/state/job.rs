//! State of one batch job.

use std::borrow::Cow;

use yuccaseam_base::{
    Millis,
    record, //
};

use super::{
    NewItem,
    NewJob,
    Output,
    packed, //
};

/// Size of an output from which on it is compressed, in bytes.
const MIN_PACKED_BYTES: usize = 512;

/// Final result of an item.
#[record]
pub enum Finish {
    /// Its complete output: the data of all events, separated by line feeds.
    Completed(String),
    /// It can never be completed, or failed too often.
    Errored,
    /// As [`Finish::Completed`], with the output compressed.
    CompletedPacked(Vec<u8>),
}

impl Finish {
    /// Result of a completed item. A store that joins receives all results, so that long ones are
    /// compressed.
    pub(super) fn completed(text: String) -> Self {
        if text.len() < MIN_PACKED_BYTES {
            return Self::Completed(text);
        }
        Self::CompletedPacked(packed::pack(text.as_bytes()))
    }

    /// The complete output of a completed item; `None` if it is errored.
    ///
    /// # Panics
    ///
    /// Never: a compressed output was a text.
    pub fn text(&self) -> Option<Cow<'_, str>> {
        match self {
            Self::Completed(text) => Some(Cow::Borrowed(text)),
            Self::CompletedPacked(data) => {
                let text = packed::unpack(data).expect("the state compressed it");
                let text = String::from_utf8(text).expect("the state compressed a text");
                Some(Cow::Owned(text))
            }
            Self::Errored => None,
        }
    }

    /// Size in the state in bytes; `None` if the item is errored.
    fn stored_bytes(&self) -> Option<u64> {
        match self {
            Self::Completed(text) => Some(text.len() as u64),
            Self::CompletedPacked(data) => Some(data.len() as u64),
            Self::Errored => None,
        }
    }
}

/// An item of a job.
#[record]
pub struct Item {
    /// Id of the item, unique in its job.
    pub id: String,
    /// Path of the request that runs it. This and the next two are empty once the item is listed, since a store
    /// that joins receives all of the state.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Sum of the tokens of the prompt and the maximum tokens of the output.
    pub tokens: u64,
    /// Runs that the target itself reported as failed.
    pub failed_runs: u32,
    /// Id of the last event of the stored output.
    pub last_id: Option<String>,
    /// Data of the events so far, one line each.
    lines: Vec<String>,
    listed: bool,
}

impl Item {
    /// Size of its request in bytes.
    fn input_bytes(&self) -> u64 {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        (self.id.len() + self.path.len() + self.body.len() + headers) as u64
    }

    /// Size of the data of the events so far.
    pub fn output_bytes(&self) -> usize {
        self.lines.iter().map(String::len).sum()
    }

    /// Whether its result is listed.
    pub fn is_listed(&self) -> bool {
        self.listed
    }
}

impl From<NewItem> for Item {
    fn from(new: NewItem) -> Self {
        Self {
            id: new.id,
            path: new.path,
            headers: new.headers,
            body: new.body,
            tokens: new.tokens,
            failed_runs: 0,
            last_id: None,
            lines: Vec::new(),
            listed: false,
        }
    }
}

/// A listed result.
#[record]
pub struct Listed {
    /// Position of the item in its job.
    pub item: u32,
    /// Result of the item.
    pub finish: Finish,
}

/// A batch job.
#[record]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Host of its requests.
    pub host: String,
    /// Host and prefix of its route.
    pub route: String,
    /// Limit on the tokens waiting on the route, if any.
    pub waiting_limit: Option<u64>,
    /// Failed runs after which an item is abandoned.
    pub max_attempts: u32,
    /// Time of submission, in ms since the Unix epoch.
    pub submitted_at: Millis,
    items: Vec<Item>,
    results: Vec<Listed>,
    ended: bool,
}

impl From<NewJob> for Job {
    fn from(new: NewJob) -> Self {
        Self {
            id: new.id,
            host: new.host,
            route: new.route,
            waiting_limit: new.waiting_limit,
            max_attempts: new.max_attempts,
            submitted_at: new.submitted_at,
            items: new.items.into_iter().map(Item::from).collect(),
            results: Vec::new(),
            ended: false,
        }
    }
}

impl Job {
    /// The items, in the order of submission.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// The results, in the order in which they were listed.
    pub fn results(&self) -> &[Listed] {
        &self.results
    }

    /// Whether the caller has ended it.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether nothing of it is left to run.
    pub fn is_settled(&self) -> bool {
        self.ended || self.results.len() == self.items.len()
    }

    /// Sum of the tokens of its unlisted items, at most the largest value; 0 once it has ended.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let waiting = self.items.iter().filter(|item| !item.listed);
        waiting.map(|item| item.tokens).fold(0, u64::saturating_add)
    }

    /// The items without a result, with their positions; none once the job has ended.
    pub fn waiting(&self) -> impl Iterator<Item = (u32, &Item)> {
        let is_open = !self.ended;
        let items = (0..).zip(&self.items);
        items.filter(move |(_, item)| is_open && !item.listed)
    }

    /// Number of the completed items, and the size of their results in bytes.
    pub(super) fn completed_sizes(&self) -> (u64, u64) {
        let results = self.results.iter();
        let sizes = results.filter_map(|listed| listed.finish.stored_bytes());
        sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size))
    }

    /// Size of its data in bytes, with results of `result_bytes` for the items that wait. The partial output of
    /// an item becomes part of its result.
    pub(super) fn expected_bytes(&self, result_bytes: u64) -> u64 {
        let listed = self.results.iter();
        let listed = listed.filter_map(|listed| listed.finish.stored_bytes());
        let items = self.items.iter().map(Item::input_bytes);
        let waiting = self.waiting();
        let waiting = waiting.map(|(_, item)| result_bytes.max(item.output_bytes() as u64));
        listed.chain(items).chain(waiting).sum()
    }

    /// The item with an id, listed or not.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.items.iter().find(|item| item.id == id)
    }

    pub(super) fn end(&mut self) {
        self.ended = true;
    }

    pub(super) fn record_failed_run(&mut self, item: u32) {
        if let Some(item) = self.items.get_mut(item as usize) {
            item.failed_runs += 1;
        }
    }

    pub(super) fn discard_output(&mut self, item: u32) {
        if let Some(item) = self.items.get_mut(item as usize) {
            item.lines = Vec::new();
            item.last_id = None;
        }
    }

    /// Whether an item is listed, or was not when the job ended.
    pub(super) fn is_closed(&self, item: u32) -> bool {
        let item = self.items.get(item as usize);
        item.is_some_and(|item| self.ended || item.listed)
    }

    /// Appends output. Returns false if it does not follow the stored output.
    pub(super) fn advance(&mut self, item: u32, output: Output) -> bool {
        let ended = self.ended;
        let Some(item) = self.items.get_mut(item as usize) else {
            return false;
        };
        if ended || item.listed || item.last_id != output.after {
            return false;
        }
        item.lines.extend(output.lines);
        item.last_id = output.last_id;
        true
    }

    /// Lists an item with its last output. Returns false if that does not follow the stored output.
    pub(super) fn finish(&mut self, position: u32, output: Option<Output>) -> bool {
        let finish = match output {
            Some(output) => {
                if !self.advance(position, output) {
                    return false;
                }
                let lines = std::mem::take(&mut self.items[position as usize].lines);
                Finish::completed(lines.join("\n"))
            }
            None => Finish::Errored,
        };
        let ended = self.ended;
        let Some(item) = self.items.get_mut(position as usize) else {
            return false;
        };
        if item.listed || ended {
            return false;
        }
        item.listed = true;
        item.path = String::new();
        item.headers = Vec::new();
        item.body = Vec::new();
        item.lines = Vec::new();
        self.results.push(Listed {
            item: position,
            finish,
        });
        true
    }
}
