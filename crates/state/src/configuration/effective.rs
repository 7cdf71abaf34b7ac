//! What is in force at one place, for one request.

use yuccaseam_base::{
    Millis,
    value, //
};

use super::{
    Configuration,
    Defaults,
    Exception,
    Scope,
    Setting, //
};

/// What exceptions are matched against: where a daemon or target stands, and what a request is.
/// A part that is absent matches no exception.
#[value]
#[derive(Default)]
pub struct Place {
    /// The region.
    pub region: Option<String>,
    /// The failure domain.
    pub failure_domain: Option<String>,
    /// The instance.
    pub instance: Option<String>,
    /// The request's class.
    pub class: Option<String>,
    /// The request's model.
    pub model: Option<String>,
    /// The request's team.
    pub team: Option<String>,
}

impl Place {
    fn matches(&self, scope: &Scope) -> bool {
        let is = |part: &Option<String>, name: &String| part.as_ref() == Some(name);
        match scope {
            Scope::Fleet => true,
            Scope::Region(name) => is(&self.region, name),
            Scope::FailureDomain(name) => is(&self.failure_domain, name),
            Scope::Instance(name) => is(&self.instance, name),
            Scope::Class(name) => is(&self.class, name),
            Scope::Model(name) => is(&self.model, name),
            Scope::Team(name) => is(&self.team, name),
        }
    }
}

impl Exception {
    /// Whether the exception has not ended, at a point in Unix time.
    pub fn is_in_force(&self, at: Millis) -> bool {
        self.end.is_none_or(|end| at < end)
    }
}

impl Configuration {
    /// The value of one setting at a place and a point in Unix time.
    ///
    /// Of the exceptions that match, the one with the narrowest scope decides, in the order
    /// fleet, region, failure domain, instance, class, model, team. A team's own weight stands
    /// between the default and the exceptions of its team.
    pub fn effective(&self, setting: Setting, place: &Place, at: Millis) -> u64 {
        let narrowest = self
            .exceptions
            .values()
            .filter(|exception| exception.setting == setting)
            .filter(|exception| exception.is_in_force(at))
            .filter(|exception| place.matches(&exception.scope))
            .max_by_key(|exception| &exception.scope);
        let own_weight = self.own_weight(setting, place);
        match narrowest {
            Some(Exception {
                scope: Scope::Team(_),
                value,
                ..
            }) => *value,
            Some(exception) => own_weight.unwrap_or(exception.value),
            None => own_weight.unwrap_or_else(|| self.defaults.get(setting)),
        }
    }

    /// Every setting at a place and a point in Unix time.
    pub fn effective_all(&self, place: &Place, at: Millis) -> Defaults {
        let mut all = self.defaults.clone();
        for &setting in Setting::ALL {
            all.set(setting, self.effective(setting, place, at));
        }
        all
    }

    /// The weight of a team.
    pub fn team_weight(&self, team: &str, at: Millis) -> u64 {
        let place = Place {
            team: Some(team.to_owned()),
            ..Place::default()
        };
        self.effective(Setting::TeamWeight, &place, at)
    }

    /// A setting that holds for the whole fleet.
    pub(crate) fn fleet_wide(&self, setting: Setting, at: Millis) -> u64 {
        self.effective(setting, &Place::default(), at)
    }

    /// A length of time that holds for the whole fleet.
    pub(crate) fn fleet_wide_millis(&self, setting: Setting, at: Millis) -> Millis {
        Millis(self.fleet_wide(setting, at))
    }

    fn own_weight(&self, setting: Setting, place: &Place) -> Option<u64> {
        if setting != Setting::TeamWeight {
            return None;
        }
        let team = place.team.as_ref()?;
        self.teams.get(team).map(|team| team.weight)
    }
}
