//! Teams of one manifest, and whose request a key makes.
//!
//! # Invariants
//!
//! - A key belongs to at most one team, and a name to at most one team.
//! - No error and no log line contains a key.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use http::{
    HeaderMap,
    HeaderValue,
    header, //
};
use yuccaseam_base::{
    Millis,
    TeamName, //
};
use yuccaseam_platform::{
    ApiKey,
    Route,
    Team,
    headers, //
};

use crate::routes::ManifestError;

/// Time without a message of the leader after which a newer manifest may be in force elsewhere. The leader sends
/// a message every 200 ms.
pub const MAX_CONTACT_AGE: Millis = Millis(1_000);

/// Teams of one manifest, indexed by key and by name.
#[derive(Debug)]
pub struct TeamDirectory {
    by_key: HashMap<ApiKey, Arc<Team>>,
    by_name: HashMap<TeamName, Arc<Team>>,
}

impl TeamDirectory {
    /// Validates and indexes teams. A key may be listed twice in one team.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a key or a name, or if a name cannot be sent as a header value.
    pub fn new(teams: Vec<Team>) -> Result<Self, ManifestError> {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::with_capacity(teams.len());
        for team in teams {
            if HeaderValue::from_bytes(team.name.as_str().as_bytes()).is_err() {
                return Err(ManifestError::InvalidTeamName { team: team.name });
            }
            let team = Arc::new(team);
            for key in &team.keys {
                let other = by_key.insert(key.clone(), Arc::clone(&team));
                if let Some(other) = other.filter(|other| !Arc::ptr_eq(other, &team)) {
                    return Err(ManifestError::SharedKey {
                        teams: [other.name.clone(), team.name.clone()],
                    });
                }
            }
            if let Some(other) = by_name.insert(team.name.clone(), team) {
                let team = other.name.clone();
                return Err(ManifestError::DuplicateTeam { team });
            }
        }
        Ok(Self { by_key, by_name })
    }

    /// Team that holds a key.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// Team with a name.
    pub fn team(&self, name: &TeamName) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// All teams, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.by_name.values().map(Arc::as_ref)
    }

    /// Decides whose request this is. `None` if it is nobody's, on a public route; `route` is `None` for a
    /// call about a job.
    ///
    /// # Errors
    ///
    /// Fails if the request needs a key and has none that a team holds.
    pub fn authenticate(
        &self,
        fields: &HeaderMap,
        route: Option<&Route>,
    ) -> Result<Option<Arc<Team>>, KeyError> {
        let key = headers::api_key(fields);
        if let Some(team) = key.as_ref().and_then(|key| self.find(key)) {
            return Ok(Some(Arc::clone(team)));
        }
        if route.is_some_and(|route| route.is_public) {
            return Ok(None);
        }
        Err(match key {
            Some(_) => KeyError::Unknown,
            None => KeyError::Missing,
        })
    }
}

/// Why a request is nobody's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The request has no key.
    Missing,
    /// No team of the manifest in force holds the key.
    Unknown,
}

impl KeyError {
    /// Stable name for logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Missing => "missing_key",
            Self::Unknown => "unknown_key",
        }
    }

    /// Whether the request is refused for good. A key that is unknown here may be in a newer manifest if the
    /// leader has sent nothing for `contact_age`; another instance may know it.
    pub fn is_final(self, contact_age: Millis) -> bool {
        self == Self::Missing || contact_age <= MAX_CONTACT_AGE
    }
}

/// Removes what only this system may read or set: the caller's key and the name of its team.
pub fn remove_credentials(fields: &mut HeaderMap) {
    fields.remove(header::AUTHORIZATION);
    fields.remove(headers::TEAM);
}

/// Names the team of a request to the target.
pub fn set_team(fields: &mut HeaderMap, team: &TeamName) {
    match HeaderValue::from_bytes(team.as_str().as_bytes()) {
        Ok(name) => drop(fields.insert(headers::TEAM, name)),
        // Unexpected: names are validated before a manifest takes effect.
        Err(error) => {
            log::error!(team:%, error:% = error; "team name not sent to the target");
        }
    }
}

/// Priority of a request; 0 is the most urgent. That of the team takes precedence over that of the route.
pub fn priority(team: Option<&Team>, route: &Route) -> u32 {
    team.and_then(|team| team.priority)
        .unwrap_or(route.priority)
}
