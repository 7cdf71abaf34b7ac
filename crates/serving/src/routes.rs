//! The routes of one manifest.
//!
//! # Invariants
//!
//! - Every destination of a route names a service of the same manifest.
//! - A request matches the route of its host with the longest prefix, or none.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    error,
    fmt, //
};

use yuccaseam_base::value;
use yuccaseam_platform::{
    ClientLimits,
    Destination,
    Manifest,
    Route,
    Service, //
};

/// Why a manifest cannot take effect.
#[value]
pub enum ManifestError {
    /// A route goes to a service that the manifest does not have.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        path_prefix: String,
    },
    /// The weights of a route add up to 0.
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route keeps no request waiting at all.
    NoTimeout {
        /// The route.
        route: String,
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
            Self::NoWeight { route } => write!(f, "the weights of route {route} add up to 0"),
            Self::NoTimeout { route } => write!(f, "the timeout of route {route} is 0"),
        }
    }
}

impl error::Error for ManifestError {}

/// The routes of one manifest, by host.
#[derive(Debug)]
pub struct RouteTable {
    manifest: Manifest,
    /// Indices of the routes of a host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
}

impl RouteTable {
    /// Checks a manifest and indexes its routes.
    ///
    /// # Errors
    ///
    /// Fails if the manifest cannot take effect.
    pub fn new(manifest: Manifest) -> Result<Self, ManifestError> {
        let names = manifest.services.iter().enumerate();
        let services: HashMap<_, _> = names.map(|(at, one)| (one.name.clone(), at)).collect();
        let mut places = BTreeSet::new();
        let mut by_host = HashMap::<_, Vec<usize>>::new();
        for (at, route) in manifest.routes.iter().enumerate() {
            check_route(route, &services)?;
            let host = route.host.to_ascii_lowercase();
            if !places.insert((host.clone(), &route.path_prefix)) {
                return Err(ManifestError::DuplicateRoute {
                    host,
                    path_prefix: route.path_prefix.clone(),
                });
            }
            by_host.entry(host).or_default().push(at);
        }
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|&at| std::cmp::Reverse(manifest.routes[at].path_prefix.len()));
        }
        Ok(Self {
            manifest,
            by_host,
            services,
        })
    }

    /// The version of the manifest.
    pub fn version(&self) -> u64 {
        self.manifest.version
    }

    /// What clients may send.
    pub fn limits(&self) -> &ClientLimits {
        &self.manifest.limits
    }

    /// The route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let of_host = self.by_host.get(&host)?;
        let routes = of_host.iter().map(|&at| &self.manifest.routes[at]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service of the manifest.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|&at| &self.manifest.services[at])
    }
}

fn check_route(route: &Route, services: &HashMap<String, usize>) -> Result<(), ManifestError> {
    let unknown = |one: &&Destination| !services.contains_key(&one.service);
    if let Some(destination) = route.destinations.iter().find(unknown) {
        return Err(ManifestError::UnknownService {
            route: route.name.clone(),
            service: destination.service.clone(),
        });
    }
    if route.timeout.0 == 0 {
        let route = route.name.clone();
        return Err(ManifestError::NoTimeout { route });
    }
    if total_weight(route) == 0 {
        let route = route.name.clone();
        return Err(ManifestError::NoWeight { route });
    }
    Ok(())
}

fn total_weight(route: &Route) -> u64 {
    route.destinations.iter().map(|one| one.weight).sum()
}

/// The destination of a request by weight. `draw` is uniform over all values.
pub fn choose_destination(route: &Route, draw: u64) -> Option<&str> {
    let total = total_weight(route);
    let mut left = draw.checked_rem(total)?;
    route.destinations.iter().find_map(|one| {
        if left < one.weight {
            return Some(one.service.as_str());
        }
        left -= one.weight;
        None
    })
}
