//! Names of the places and machines of the brief.

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
                /// The name as text.
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
    /// The name of one instance, which runs one daemon.
    InstanceName;
    /// A failure domain, such as `brno-a`: its machines may fail together.
    FailureDomain;
    /// A region, such as `morava`: its failure domains are about a millisecond apart.
    Region;
    /// The name of one target: one worker of a model engine, or one copy of a plain service.
    TargetName;
}
