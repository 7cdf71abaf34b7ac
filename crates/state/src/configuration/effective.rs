//! Effective settings for one location and request.

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

/// The context that exceptions are matched against: the location of a daemon or target, and the
/// properties of a request. An absent part matches no exception.
#[value]
#[derive(Default)]
pub struct SettingContext {
    /// Region of the daemon or target.
    pub region: Option<String>,
    /// Failure domain of the daemon or target.
    pub failure_domain: Option<String>,
    /// Instance of the daemon or target.
    pub instance: Option<String>,
    /// Class of the request.
    pub class: Option<String>,
    /// Model of the request.
    pub model: Option<String>,
    /// Team of the request.
    pub team: Option<String>,
}

impl SettingContext {
    fn matches(&self, scope: &Scope) -> bool {
        let is_named = |part: &Option<String>, name: &String| part.as_ref() == Some(name);
        match scope {
            Scope::Fleet => true,
            Scope::Region(name) => is_named(&self.region, name),
            Scope::FailureDomain(name) => is_named(&self.failure_domain, name),
            Scope::Instance(name) => is_named(&self.instance, name),
            Scope::Class(name) => is_named(&self.class, name),
            Scope::Model(name) => is_named(&self.model, name),
            Scope::Team(name) => is_named(&self.team, name),
        }
    }
}

impl Exception {
    /// Returns whether the exception has not ended at the Unix time `at`.
    pub fn is_active(&self, at: Millis) -> bool {
        self.end.is_none_or(|end| at < end)
    }
}

impl Configuration {
    /// Returns the value of a setting in a context at the Unix time `at`.
    ///
    /// Of the matching exceptions, the one with the narrowest scope applies, in the order fleet,
    /// region, failure domain, instance, class, model, team. A team's own weight takes precedence
    /// over the default and all exceptions except those of its team.
    pub fn effective(&self, setting: Setting, context: &SettingContext, at: Millis) -> u64 {
        let narrowest = self
            .exceptions
            .values()
            .filter(|exception| exception.setting == setting)
            .filter(|exception| exception.is_active(at))
            .filter(|exception| context.matches(&exception.scope))
            .max_by_key(|exception| &exception.scope);
        let own_weight = self.own_weight(setting, context);
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

    /// Returns the values of all settings in a context at the Unix time `at`.
    pub fn effective_all(&self, context: &SettingContext, at: Millis) -> Defaults {
        let mut all = self.defaults.clone();
        for &setting in Setting::ALL {
            all.set(setting, self.effective(setting, context, at));
        }
        all
    }

    /// Returns the weight of a team at the Unix time `at`.
    pub fn team_weight(&self, team: &str, at: Millis) -> u64 {
        let context = SettingContext {
            team: Some(team.to_owned()),
            ..SettingContext::default()
        };
        self.effective(Setting::TeamWeight, &context, at)
    }

    /// Returns the value of a fleet-wide setting.
    pub(crate) fn fleet_wide(&self, setting: Setting, at: Millis) -> u64 {
        self.effective(setting, &SettingContext::default(), at)
    }

    /// Returns the value of a fleet-wide duration.
    pub(crate) fn fleet_wide_millis(&self, setting: Setting, at: Millis) -> Millis {
        Millis(self.fleet_wide(setting, at))
    }

    fn own_weight(&self, setting: Setting, context: &SettingContext) -> Option<u64> {
        if setting != Setting::TeamWeight {
            return None;
        }
        let team = context.team.as_ref()?;
        self.teams.get(team).map(|team| team.weight)
    }
}
