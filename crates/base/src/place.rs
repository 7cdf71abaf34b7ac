//! Names of instances, failure domains, regions, targets and teams.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])+ $name:ident;)+) => {
        $(
            $(#[$doc])+
            #[derive(
                Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
            )]
            pub struct $name(pub String);

            impl $name {
                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(name: &str) -> Self {
                    Self(name.to_owned())
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

names! {
    /// Name of an instance, which runs one daemon.
    InstanceName;
    /// Name of a failure domain, such as `brno-a`, whose instances may fail together.
    FailureDomain;
    /// Name of a region, such as `morava`, whose failure domains are about a millisecond apart.
    Region;
    /// Name of a target: one worker of a model engine or one copy of a plain service.
    TargetName;
    /// Name of a team: callers that share API keys and a quota.
    TeamName;
}
