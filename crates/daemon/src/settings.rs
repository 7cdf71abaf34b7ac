//! Settings of the process: flags take precedence over environment variables, and these over
//! defaults. All are checked together, so that one run reports every error.

use std::{
    collections::BTreeMap,
    env,
    fmt,
    net::SocketAddr,
    path::PathBuf,
    str::FromStr, //
};

use yuccaseam_base::{
    FailureDomain,
    InstanceName,
    Millis,
    Region, //
};

mod flags {
    xflags::xflags! {
        /// The yuccaseam daemon. Each flag can also be given as an environment variable:
        /// `--failure-domain` is YUCCASEAM_FAILURE_DOMAIN. A flag takes precedence over its variable.
        cmd yuccaseamd {
            /// Name of this instance, unique in the system. Default: local.
            optional --instance name: String
            /// Region of this instance. Default: local.
            optional --region name: String
            /// Failure domain of this instance. Default: local-a.
            optional --failure-domain name: String
            /// Address for callers, targets and operators. Default: 127.0.0.1:8480.
            optional --http address: String
            /// Address for the other daemons. Default: 127.0.0.1:8481.
            optional --peer address: String
            /// Addresses of other daemons, as NAME=ADDRESS,NAME=ADDRESS. Default: none.
            optional --peers list: String
            /// Names of the first voters, each of which has a data folder. Default: this instance.
            optional --voters list: String
            /// Data folder. Default: ./yuccaseam-data without --peers, else none.
            optional --data path: String
            /// Log format: text or json. Default: text.
            optional --log-format format: String
            /// Log level: error, warn, info, debug or trace. Default: info.
            optional --log-level level: String
            /// Largest request body in bytes. Default: 33554432.
            optional --body-limit bytes: String
            /// Largest body of a new job in bytes. Default: 2147483648.
            optional --job-limit bytes: String
            /// How long readiness is off before a planned stop refuses new calls, in ms. Default: 3000.
            optional --drain-delay ms: String
            /// How long a planned stop waits for running requests, in ms. Default: 120000.
            optional --drain-bound ms: String
            /// Check the settings, print them and exit.
            optional --check
            /// Print the version and exit.
            optional --version
        }
    }
}

/// Prefix of every environment variable.
const ENV_PREFIX: &str = "YUCCASEAM_";

/// Layout of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per record.
    Json,
}

/// Validated settings of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) instance: InstanceName,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) http: SocketAddr,
    pub(crate) peer: SocketAddr,
    /// Other daemons that are known at the start, by name. Does not contain this instance.
    pub(crate) peers: BTreeMap<InstanceName, SocketAddr>,
    pub(crate) voters: Vec<InstanceName>,
    /// Data folder, on instances with a disk.
    pub(crate) data: Option<PathBuf>,
    pub(crate) log_format: LogFormat,
    pub(crate) log_level: log::LevelFilter,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_limit: usize,
    /// Maximum size of the body of a new job, in bytes.
    pub(crate) job_limit: usize,
    pub(crate) drain_delay: Millis,
    pub(crate) drain_bound: Millis,
}

/// Command given by the command line.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run the daemon.
    Run(Settings),
    /// Print the settings and exit.
    Check(Settings),
    /// Print this text and exit.
    Print(String),
}

/// All errors of the settings.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SettingsError(pub(crate) Vec<String>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "error: {error}")?;
        }
        write!(f, "see `yuccaseamd --help`")
    }
}

impl std::error::Error for SettingsError {}

impl Command {
    /// Reads the command line and the environment of this process.
    ///
    /// # Errors
    ///
    /// Reports every setting that is unknown, malformed or in conflict with another.
    pub(crate) fn from_process() -> Result<Self, SettingsError> {
        let args = env::args_os().skip(1).collect();
        Self::parse(args, |name| env::var(name).ok())
    }

    fn parse<V>(args: Vec<std::ffi::OsString>, lookup_env: V) -> Result<Self, SettingsError>
    where
        V: Fn(&str) -> Option<String>,
    {
        let wants_help = args.iter().any(|arg| arg == "--help" || arg == "-h");
        let flags = match flags::Yuccaseamd::from_vec(args) {
            Ok(flags) => flags,
            // The library returns the help text as an error.
            Err(help) if wants_help => return Ok(Self::Print(help.to_string())),
            Err(error) => return Err(SettingsError(vec![error.to_string()])),
        };
        if flags.version {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Self::Print(format!("yuccaseamd {version}")));
        }
        let check = flags.check;
        let settings = Settings::resolve(flags, lookup_env)?;
        Ok(if check {
            Self::Check(settings)
        } else {
            Self::Run(settings)
        })
    }
}

impl Settings {
    fn resolve<V>(flags: flags::Yuccaseamd, lookup_env: V) -> Result<Self, SettingsError>
    where
        V: Fn(&str) -> Option<String>,
    {
        let mut reader = SettingsReader::new(lookup_env);
        let instance = InstanceName(reader.name("instance", flags.instance, "local"));
        let region = Region(reader.name("region", flags.region, "local"));
        let failure_domain =
            FailureDomain(reader.name("failure-domain", flags.failure_domain, "local-a"));
        let http = reader.parsed("http", flags.http, "127.0.0.1:8480");
        let peer = reader.parsed("peer", flags.peer, "127.0.0.1:8481");
        let mut peers = reader.peers(flags.peers);
        let is_single_instance = peers.is_empty();
        peers.remove(&instance);
        let voters = reader.voters(flags.voters, &instance);
        let data = reader.data(flags.data, is_single_instance);
        let log_format = reader.log_format(flags.log_format);
        let log_level = reader.parsed("log-level", flags.log_level, "info");
        let body_limit = reader.parsed("body-limit", flags.body_limit, "33554432");
        let job_limit = reader.parsed("job-limit", flags.job_limit, "2147483648");
        let drain_delay = reader.parsed("drain-delay", flags.drain_delay, "3000");
        let drain_bound = reader.parsed("drain-bound", flags.drain_bound, "120000");

        reader.check_voters(&voters, &instance, &peers, data.is_some());
        if let (
            [],
            Some(http),
            Some(peer),
            Some(log_level),
            Some(body_limit),
            Some(job_limit),
            Some(drain_delay),
            Some(drain_bound),
        ) = (
            reader.errors.as_slice(),
            http,
            peer,
            log_level,
            body_limit,
            job_limit,
            drain_delay,
            drain_bound,
        ) {
            return Ok(Self {
                instance,
                region,
                failure_domain,
                http,
                peer,
                peers,
                voters,
                data,
                log_format,
                log_level,
                body_limit,
                job_limit,
                drain_delay: Millis(drain_delay),
                drain_bound: Millis(drain_bound),
            });
        }
        Err(SettingsError(reader.errors))
    }
}

/// Reads settings one by one and collects their errors.
struct SettingsReader<V> {
    lookup_env: V,
    errors: Vec<String>,
}

impl<V> SettingsReader<V>
where
    V: Fn(&str) -> Option<String>,
{
    fn new(lookup_env: V) -> Self {
        Self {
            lookup_env,
            errors: Vec::new(),
        }
    }

    /// Text of a setting: the value of its flag, else that of its environment variable.
    fn text(&self, name: &str, flag: Option<String>) -> Option<String> {
        let variable = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
        flag.or_else(|| (self.lookup_env)(&variable))
    }

    fn error<T>(&mut self, text: T)
    where
        T: Into<String>,
    {
        self.errors.push(text.into());
    }

    fn parsed<T>(&mut self, name: &str, flag: Option<String>, default: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.text(name, flag).unwrap_or_else(|| default.to_owned());
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.error(format!("--{name} {text}: {error}"));
                None
            }
        }
    }

    fn name(&mut self, name: &str, flag: Option<String>, default: &str) -> String {
        let text = self.text(name, flag).unwrap_or_else(|| default.to_owned());
        if !is_name(&text) {
            self.error(format!(
                "--{name} {text:?}: a name must have 1 to 63 letters, digits, dots, dashes or underscores"
            ));
        }
        text
    }

    fn peers(&mut self, flag: Option<String>) -> BTreeMap<InstanceName, SocketAddr> {
        let text = self.text("peers", flag).unwrap_or_default();
        let mut peers = BTreeMap::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let Some((name, address)) = part.split_once('=') else {
                self.error(format!("--peers {part:?}: expected NAME=ADDRESS"));
                continue;
            };
            match address.parse() {
                Ok(address) if is_name(name) => {
                    peers.insert(InstanceName::from(name), address);
                }
                Ok(_) => self.error(format!("--peers {part:?}: {name:?} is not a valid name")),
                Err(error) => self.error(format!("--peers {part:?}: {error}")),
            }
        }
        peers
    }

    fn voters(&mut self, flag: Option<String>, instance: &InstanceName) -> Vec<InstanceName> {
        let Some(text) = self.text("voters", flag) else {
            return vec![instance.clone()];
        };
        let names: Vec<_> = text
            .split(',')
            .filter(|part| !part.is_empty())
            .map(InstanceName::from)
            .collect();
        if names.is_empty() {
            self.error("--voters: at least one name is needed");
        }
        names
    }

    fn data(&self, flag: Option<String>, is_single_instance: bool) -> Option<PathBuf> {
        match self.text("data", flag) {
            Some(path) => Some(PathBuf::from(path)),
            None if is_single_instance => Some(PathBuf::from("./yuccaseam-data")),
            None => None,
        }
    }

    fn log_format(&mut self, flag: Option<String>) -> LogFormat {
        match self.text("log-format", flag).as_deref() {
            None | Some("text") => LogFormat::Text,
            Some("json") => LogFormat::Json,
            Some(other) => {
                self.error(format!("--log-format {other:?}: expected text or json"));
                LogFormat::Text
            }
        }
    }

    fn check_voters(
        &mut self,
        voters: &[InstanceName],
        instance: &InstanceName,
        peers: &BTreeMap<InstanceName, SocketAddr>,
        has_data: bool,
    ) {
        for voter in voters {
            if voter != instance && !peers.contains_key(voter) {
                self.error(format!("--voters: {voter} is not among --peers"));
            }
        }
        if voters.contains(instance) && !has_data {
            self.error("--voters names this instance: --data is needed");
        }
    }
}

/// Whether a text is a valid name of an instance, a region or a failure domain.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    (1..=63).contains(&text.len()) && text.chars().all(is_allowed)
}
