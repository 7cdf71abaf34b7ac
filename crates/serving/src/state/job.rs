//! One batch job.

use yuccaseam_base::{
    Millis,
    record, //
};

use super::{
    NewItem,
    NewJob,
    Output, //
};

/// How an item ended.
#[record]
pub enum Finish {
    /// Its whole output, as the data of all events separated by line feeds.
    Completed(String),
    /// It can never be done, or failed too often.
    Errored,
}

/// One item.
#[record]
pub struct Item {
    /// Names the item in its job.
    pub id: String,
    /// Path of the request that runs it.
    pub path: String,
    /// Headers of that request.
    pub headers: Vec<(String, String)>,
    /// Body of that request. Empty once the item is listed.
    pub body: Vec<u8>,
    /// Tokens of the prompt and the most tokens of the output together.
    pub tokens: u64,
    /// Runs that the target itself called failed.
    pub failed_runs: u32,
    /// The last event of the output that is kept here.
    pub last_id: Option<String>,
    /// The data of the events so far, a line each.
    lines: Vec<String>,
    listed: bool,
}

impl Item {
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
    /// How it ended.
    pub finish: Finish,
}

/// One batch job.
#[record]
pub struct Job {
    /// The job.
    pub id: String,
    /// The host of its requests.
    pub host: String,
    /// Host and prefix of its route.
    pub route: String,
    /// Tokens that may wait on the route, if limited.
    pub waiting_limit: Option<u64>,
    /// Runs that may fail before an item is given up.
    pub max_attempts: u32,
    /// When it was handed in, in ms since the Unix epoch.
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
    /// The items, in the order of the submission.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// The results, in the order in which they were listed.
    pub fn results(&self) -> &[Listed] {
        &self.results
    }

    /// Whether its caller ended it.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether nothing of it is left to run.
    pub fn is_settled(&self) -> bool {
        self.ended || self.results.len() == self.items.len()
    }

    /// Tokens of the items that wait.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        let waiting = self.items.iter().filter(|item| !item.listed);
        waiting.map(|item| item.tokens).sum()
    }

    /// The items that wait, with their positions.
    pub fn waiting(&self) -> impl Iterator<Item = (u32, &Item)> {
        let open = !self.ended;
        let items = (0..).zip(&self.items);
        items.filter(move |(_, item)| open && !item.listed)
    }

    /// The item with an id, listed or not.
    pub fn item(&self, id: &str) -> Option<&Item> {
        self.items.iter().find(|item| item.id == id)
    }

    pub(super) fn end(&mut self) {
        self.ended = true;
    }

    pub(super) fn note_failed_run(&mut self, item: u32) {
        if let Some(item) = self.items.get_mut(item as usize) {
            item.failed_runs += 1;
        }
    }

    /// Keeps output. False if it does not follow what is kept.
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

    /// Lists an item with its last output. False if that does not follow what is kept.
    pub(super) fn finish(&mut self, position: u32, output: Option<Output>) -> bool {
        let finish = match output {
            Some(output) => {
                if !self.advance(position, output) {
                    return false;
                }
                let lines = std::mem::take(&mut self.items[position as usize].lines);
                Finish::Completed(lines.join("\n"))
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
        item.body = Vec::new();
        item.lines = Vec::new();
        self.results.push(Listed {
            item: position,
            finish,
        });
        true
    }
}
