//! Route table of one manifest.
//!
//! # Invariants
//!
//! - Every destination of a route names a service of the same manifest.
//! - A request matches the route of its host with the longest prefix, or none.
//! - The teams of the table are those of the same manifest.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    error,
    fmt, //
};

use yuccaseam_base::{
    TeamName,
    value, //
};
use yuccaseam_platform::{
    ClientLimits,
    Destination,
    Manifest,
    RequestQuota,
    Route,
    Service, //
};

use crate::{
    shares::ShareWeights,
    teams::TeamDirectory, //
};

/// Error of a manifest that cannot take effect.
#[value]
pub enum ManifestError {
    /// A destination names a service that is not in the manifest.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        path_prefix: String,
    },
    /// The weights of a route add up to 0.
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two teams share a key.
    SharedKey {
        /// Names of the teams.
        teams: [TeamName; 2],
    },
    /// Two teams have the same name.
    DuplicateTeam {
        /// Name of both teams.
        team: TeamName,
    },
    /// The name of a team cannot be sent as a header value.
    InvalidTeamName {
        /// Name of the team.
        team: TeamName,
    },
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route} goes to the unknown service {service}")
            }
            Self::DuplicateRoute { host, path_prefix } => {
                write!(
                    f,
                    "two routes have the host {host} and the prefix {path_prefix}"
                )
            }
            Self::ZeroWeight { route } => write!(f, "the weights of route {route} add up to 0"),
            Self::ZeroTimeout { route } => write!(f, "the timeout of route {route} is 0"),
            Self::SharedKey {
                teams: [one, other],
            } => write!(f, "the teams {one} and {other} share a key"),
            Self::DuplicateTeam { team } => write!(f, "two teams have the name {team}"),
            Self::InvalidTeamName { team } => {
                write!(f, "the team name {team:?} is no valid header value")
            }
        }
    }
}

impl error::Error for ManifestError {}

/// Routes of one manifest, indexed by host.
#[derive(Debug)]
pub struct RouteTable {
    manifest: Manifest,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    share_weights: ShareWeights,
    /// `None` if requests need no key.
    teams: Option<TeamDirectory>,
}

impl RouteTable {
    /// Validates a manifest and indexes its routes.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest cannot take effect.
    pub fn new(mut manifest: Manifest) -> Result<Self, ManifestError> {
        let names = manifest.services.iter().enumerate();
        let services: HashMap<_, _> = names
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let mut seen = BTreeSet::new();
        let mut by_host = HashMap::<_, Vec<usize>>::new();
        for (index, route) in manifest.routes.iter().enumerate() {
            check_route(route, &services)?;
            let host = route.host.to_ascii_lowercase();
            if !seen.insert((host.clone(), &route.path_prefix)) {
                return Err(ManifestError::DuplicateRoute {
                    host,
                    path_prefix: route.path_prefix.clone(),
                });
            }
            by_host.entry(host).or_default().push(index);
        }
        for host_routes in by_host.values_mut() {
            host_routes
                .sort_by_key(|&index| std::cmp::Reverse(manifest.routes[index].path_prefix.len()));
        }
        let share_weights = ShareWeights::new(manifest.teams.as_deref().unwrap_or_default());
        let teams = manifest.teams.take().map(TeamDirectory::new).transpose()?;
        Ok(Self {
            share_weights,
            manifest,
            by_host,
            services,
            teams,
        })
    }

    /// Version of the manifest.
    pub fn version(&self) -> u64 {
        self.manifest.version
    }

    /// Limits on what clients may send.
    pub fn limits(&self) -> &ClientLimits {
        &self.manifest.limits
    }

    /// Weights of the teams.
    pub fn share_weights(&self) -> &ShareWeights {
        &self.share_weights
    }

    /// Teams of callers. `None` if requests need no key.
    pub fn teams(&self) -> Option<&TeamDirectory> {
        self.teams.as_ref()
    }

    /// Quota of a team, if it has one.
    pub fn quota(&self, team: &TeamName) -> Option<RequestQuota> {
        self.teams.as_ref()?.team(team)?.quota
    }

    /// Quotas of the teams that have one.
    pub fn quotas(&self) -> impl Iterator<Item = (&TeamName, RequestQuota)> {
        let teams = self.teams.iter().flat_map(TeamDirectory::iter);
        teams.filter_map(|team| Some((&team.name, team.quota?)))
    }

    /// Finds the route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let host_routes = self.by_host.get(&host)?;
        let routes = host_routes
            .iter()
            .map(|&index| &self.manifest.routes[index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|&index| &self.manifest.services[index])
    }
}

fn check_route(route: &Route, services: &HashMap<String, usize>) -> Result<(), ManifestError> {
    let is_unknown = |destination: &&Destination| !services.contains_key(&destination.service);
    if let Some(destination) = route.destinations.iter().find(is_unknown) {
        return Err(ManifestError::UnknownService {
            route: route.name.clone(),
            service: destination.service.clone(),
        });
    }
    if route.timeout.0 == 0 {
        let route = route.name.clone();
        return Err(ManifestError::ZeroTimeout { route });
    }
    if total_weight(route) == 0 {
        let route = route.name.clone();
        return Err(ManifestError::ZeroWeight { route });
    }
    Ok(())
}

fn total_weight(route: &Route) -> u128 {
    let destinations = route.destinations.iter();
    destinations
        .map(|destination| u128::from(destination.weight))
        .sum()
}

/// Chooses the destination of a request by weight. `draw` is uniform over all values.
pub fn choose_destination(route: &Route, draw: u64) -> Option<&str> {
    let total = total_weight(route);
    let mut remaining = u128::from(draw).checked_rem(total)?;
    route.destinations.iter().find_map(|destination| {
        let weight = u128::from(destination.weight);
        if remaining < weight {
            return Some(destination.service.as_str());
        }
        remaining -= weight;
        None
    })
}
