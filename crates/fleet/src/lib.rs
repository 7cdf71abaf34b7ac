//! Instances, failure domains, links and targets as one daemon knows them.
