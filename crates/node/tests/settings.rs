//! The settings file: the example parses, and errors name the field in one line.

use hingestage_node::settings::{parse_duration, InternalPort, Settings};
use std::time::Duration;

const EXAMPLE: &str = include_str!("node.yaml");

#[test]
fn the_example_file_parses() {
    let settings = Settings::parse(EXAMPLE).expect("the example");
    assert_eq!(settings.node, "edge-cl-palazzo-1");
    assert_eq!(settings.zones["ct-sala-b"], "sicilia-est");
    assert_eq!(settings.listen.http, Some("10.1.0.31:8206".parse().expect("an address")));
    assert_eq!(settings.listen.admin, None);
    assert_eq!(settings.seeds.len(), 3);
    assert!(settings.bootstrap && settings.data_dir.is_none());
    assert_eq!((settings.limits.mem_mb, settings.limits.max_fds), (260, 4_100));
    assert_eq!((settings.tolerate.machines, settings.tolerate.zones), (1, 1));
    assert_eq!(settings.bounds.drain, Duration::from_secs(3));
    assert_eq!(settings.bounds.apply, Duration::from_secs(3));
    assert!(settings.bounds.revoke_strict);
    assert_eq!(settings.internal_addr(InternalPort::Proxy).to_string(), "10.1.0.31:7602");
    let cloud = settings.cloud_api.expect("the platform's list");
    assert_eq!((cloud.rate_per_s, cloud.lag), (47.0, Duration::from_millis(800)));
}

#[test]
fn unknown_fields_are_ignored() {
    let more = EXAMPLE.replace("bounds:\n", "bounds:\n  new_bound: \"1s\"\n") + "\nnew: {a: [1]}\n";
    assert!(Settings::parse(&more).is_ok());
}

#[test]
fn errors_name_the_invalid_field_in_one_line() {
    let cases = [
        ("node: \"edge-cl-palazzo-1\"", "node: \"\"", "node"),
        ("ip: \"10.1.0.31\"", "ip: \"here\"", "ip"),
        ("zone: \"cl-palazzo\"", "zone: \"\"", "zone"),
        ("region: \"sicilia-centro\"", "region: []", "region"),
        ("\n  - 7615", "\n  - 7601", "port_range"),
        ("\n  - 7615", "\n  - 99999", "port_range"),
        ("readiness: \"10.1.0.31:8201\"", "readiness: 8201", "listen.readiness"),
        ("\"10.2.0.40:8200\"", "\"10.2.0.40\"", "seeds[1]"),
        ("bootstrap: true", "bootstrap: perhaps", "bootstrap"),
        ("mem_mb: 260", "mem_mb: 1", "limits.mem_mb"),
        ("max_fds: 4100", "max_fds: -1", "limits.max_fds"),
        ("beat: \"1500ms\"", "beat: \"1500\"", "beat"),
        ("machines: 1", "machines: some", "tolerate.machines"),
        ("drain: \"3000ms\"", "drain: \"-1s\"", "bounds.drain"),
        ("revoke_strict: true", "revoke_strict: 7", "bounds.revoke_strict"),
        ("rate_per_s: 47.0", "rate_per_s: 0", "cloud_api.rate_per_s"),
        ("lag: \"800ms\"", "lag: \"a while\"", "cloud_api.lag"),
    ];
    for (good, bad, field) in cases {
        let text = EXAMPLE.replacen(good, bad, 1);
        assert_ne!(text, EXAMPLE, "{good} is not in the example");
        let message = Settings::parse(&text).map(|_| ()).expect_err(bad);
        assert!(message.contains(field), "`{bad}` gives `{message}`");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}

#[test]
fn errors_name_a_missing_required_field() {
    for field in ["node", "ip", "zone", "region"] {
        let lines = EXAMPLE.lines().filter(|line| !line.starts_with(&format!("{field}:")));
        let text = lines.collect::<Vec<_>>().join("\n");
        let message = Settings::parse(&text).map(|_| ()).expect_err(field);
        assert!(message.contains(&format!("`{field}`")), "{message}");
    }
}

#[test]
fn a_duration_is_a_number_and_its_unit() {
    assert_eq!(parse_duration("1500ms"), Some(Duration::from_millis(1_500)));
    assert_eq!(parse_duration("2.5s"), Some(Duration::from_millis(2_500)));
    for bad in ["", "s", "5", "5m", "-1s", "NaNs", "infs", "1e300s"] {
        assert_eq!(parse_duration(bad), None, "{bad}");
    }
}
