//! Weights of teams.

use std::collections::HashMap;

use yuccaseam_base::TeamName;
use yuccaseam_platform::Team;

/// Weight of each team: the rate of its quota in relation to the mean of these rates. A team without a quota
/// has the weight 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareWeights(HashMap<TeamName, f64>);

impl ShareWeights {
    /// Derives the weights from the teams of a manifest.
    pub fn new(teams: &[Team]) -> Self {
        let rates = teams.iter().filter_map(|team| {
            let rate = team.quota.as_ref()?.requests_per_1000s;
            (rate > 0).then(|| (team.name.clone(), rate as f64))
        });
        let rates: HashMap<_, _> = rates.collect();
        let mean = rates.values().sum::<f64>() / rates.len().max(1) as f64;
        let weights = rates.into_iter().map(|(name, rate)| (name, rate / mean));
        Self(weights.collect())
    }

    /// Returns the weight of a team. Positive.
    pub fn of(&self, team: &TeamName) -> f64 {
        self.0.get(team).copied().unwrap_or(1.0)
    }
}
