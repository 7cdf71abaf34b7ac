//! Whose request a key makes, and manifests whose teams cannot take effect.

use http::{
    HeaderMap,
    HeaderValue,
    header, //
};
use yuccaseam_base::{
    Millis,
    cases, //
};
use yuccaseam_platform::{
    Manifest,
    headers, //
};
use yuccaseam_serving::{
    routes::RouteTable,
    teams::{
        KeyError,
        MAX_CONTACT_AGE,
        priority,
        remove_credentials,
        set_team, //
    },
};

/// The route table of a manifest with a public and a closed route, and with these further fields.
fn table(fields: &str) -> Result<RouteTable, String> {
    let route = |prefix, public| {
        format!(
            r#"{{"host":"h.example","path_prefix":"{prefix}","type":"safe","timeout_ms":1000,
                "service":"one","public":{public}}}"#
        )
    };
    let text = format!(
        r#"{{"version":3,"routes":[{},{}],"services":[{{"name":"one"}}]{fields}}}"#,
        route("/closed/", false),
        route("/public/", true),
    );
    let manifest = Manifest::decode(text.as_bytes()).map_err(|error| error.to_string())?;
    RouteTable::new(manifest).map_err(|error| error.to_string())
}

const TWO_TEAMS: &str = r#","tenants":[{"name":"red","api_keys":["k1","k2","k1"],"priority":2},
    {"name":"blue","api_keys":["k3"]}]"#;

/// Team of a request with these credentials, at the route of `path`.
fn team_of(credentials: Option<&str>, path: &str) -> Result<Option<String>, KeyError> {
    let table = table(TWO_TEAMS).expect("the manifest is valid");
    let mut fields = HeaderMap::new();
    if let Some(credentials) = credentials {
        let value = HeaderValue::from_str(credentials).expect("a header value");
        fields.insert(header::AUTHORIZATION, value);
    }
    let teams = table.teams().expect("the manifest has teams");
    let team = teams.authenticate(&fields, table.find("h.example", path))?;
    Ok(team.map(|team| team.name.0.clone()))
}

fn check_team(credentials: Option<&str>, path: &str, expected: Result<Option<&str>, KeyError>) {
    let expected = expected.map(|team| team.map(str::to_owned));
    assert_eq!(team_of(credentials, path), expected);
}

cases! { check_team:
    key_of_a_team_names_it(Some("Token k2"), "/closed/x", Ok(Some("red")));
    unknown_key_is_refused(Some("Token k4"), "/closed/x", Err(KeyError::Unknown));
    missing_key_is_refused(None, "/closed/x", Err(KeyError::Missing));
    other_scheme_is_refused(Some("Bearer k1"), "/closed/x", Err(KeyError::Missing));
    empty_key_is_refused(Some("Token "), "/closed/x", Err(KeyError::Missing));
    public_route_needs_no_key(None, "/public/x", Ok(None));
    public_route_ignores_an_unknown_key(Some("Token k4"), "/public/x", Ok(None));
    public_route_names_the_team_of_a_key(Some("Token k3"), "/public/x", Ok(Some("blue")));
    call_about_a_job_needs_a_key(None, "/lots/x", Err(KeyError::Missing));
    call_about_a_job_is_of_a_team(Some("Token k3"), "/lots/x", Ok(Some("blue")));
}

fn check_rejection(teams: &str, expected: &str) {
    let error = table(&format!(r#","tenants":[{teams}]"#)).expect_err("the manifest is invalid");
    assert!(error.contains(expected), "{error}");
    assert!(!error.contains("s3cret"), "{error}");
}

cases! { check_rejection:
    shared_key_is_rejected(
        r#"{"name":"red","api_keys":["s3cret"]},{"name":"blue","api_keys":["x","s3cret"]}"#,
        "the teams red and blue share a key",
    );
    duplicate_team_is_rejected(
        r#"{"name":"red","api_keys":["x"]},{"name":"red","api_keys":["y"]}"#,
        "two teams have the name red",
    );
    team_name_that_no_header_can_carry_is_rejected(
        r#"{"name":"red\nteam","api_keys":["x"]}"#,
        "no valid header value",
    );
}

#[test]
fn manifest_without_teams_needs_no_key() {
    assert!(table("").expect("the manifest is valid").teams().is_none());
}

#[test]
fn target_is_shown_the_team_and_never_the_key() {
    let table = table(TWO_TEAMS).expect("the manifest is valid");
    let teams = table.teams().expect("the manifest has teams");
    let mut fields = HeaderMap::new();
    fields.append(header::AUTHORIZATION, HeaderValue::from_static("Token k1"));
    fields.append(header::AUTHORIZATION, HeaderValue::from_static("Token k3"));
    fields.append(headers::TEAM, HeaderValue::from_static("blue"));
    fields.append(headers::TEAM, HeaderValue::from_static("green"));
    let team = teams.authenticate(&fields, None).expect("a valid key");
    remove_credentials(&mut fields);
    assert!(fields.is_empty());
    set_team(&mut fields, &team.expect("a team").name);
    assert_eq!(
        fields.get(headers::TEAM),
        Some(&HeaderValue::from_static("red"))
    );
    assert_eq!(fields.len(), 1);
}

#[test]
fn priority_of_a_team_goes_before_that_of_its_route() {
    let table = table(TWO_TEAMS).expect("the manifest is valid");
    let teams = table.teams().expect("the manifest has teams");
    let mut route = table
        .find("h.example", "/closed/x")
        .expect("a route")
        .clone();
    route.priority = 7;
    let of = |name: &str| priority(teams.team(&name.into()).map(AsRef::as_ref), &route);
    assert_eq!([of("red"), of("blue"), of("none")], [2, 7, 7]);
}

/// An entry that is cut off, frozen or starting does not know the newest keys.
#[test]
fn unknown_key_is_refused_for_good_only_in_contact_with_the_leader() {
    let later = MAX_CONTACT_AGE + Millis(1);
    assert!(KeyError::Unknown.is_final(MAX_CONTACT_AGE));
    assert!(!KeyError::Unknown.is_final(later));
    assert!(KeyError::Missing.is_final(later));
}
