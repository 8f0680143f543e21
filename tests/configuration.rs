//! The configuration: errors at startup, reloads, and signals during startup.

mod support;

use std::io::Write;

use pipittack::settings::{Config, ConfigError};
use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};
use pipittack_testkit::scripted_server::{ScriptedServer, ServerRole};
use rstest::rstest;
use support::*;

#[rstest]
#[case::not_json("{", "not a configuration")]
#[case::no_settings(
    r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}"#,
    "missing field `settings`"
)]
#[case::invalid_address(&EXAMPLE_CONFIG.replace("127.0.0.1:5433", "here"), "socket address")]
#[case::invalid_seed(&EXAMPLE_CONFIG.replace("8c1f30d27a5be964", "seed"), "seed")]
#[case::share_above_one(&EXAMPLE_CONFIG.replace("0.27", "7"), "initial capacity share")]
#[case::too_few_sockets(&EXAMPLE_CONFIG.replace("1024", "8"), "limits.sockets")]
fn an_invalid_configuration_is_reported_on_one_line(#[case] config: &str, #[case] expected: &str) {
    let output = serve_command(config).0.output().expect("the program can be started");
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && message.lines().count() == 1 && message.contains(expected),
        "{message}"
    );
}

/// A reload on SIGHUP switches to the new discovery address and keeps client connections. A reload of an
/// invalid file changes nothing.
#[test]
fn a_reload_changes_the_discovery_address_and_keeps_connections() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let endpoints = [server.endpoint("a", "read-write", "Ready")];
    let proxy = start_proxy(&endpoints);
    let mut client = Client::connect(&proxy);
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    let old = std::fs::read_to_string(&proxy.config_path).expect("the configuration file can be read");
    std::fs::write(&proxy.config_path, "{").expect("the configuration file can be written");
    proxy.signal("HUP");
    assert!(proxy.wait_for_log("configuration").contains("WARN"));
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
    let new_discovery = ScriptedDiscovery::start(full_list(5, &endpoints));
    let new = old.replace(&proxy.discovery.address.to_string(), &new_discovery.address.to_string());
    std::fs::write(&proxy.config_path, new).expect("the configuration file can be written");
    proxy.signal("HUP");
    let request_line = new_discovery
        .request_lines
        .recv_timeout(TEST_TIMEOUT)
        .expect("the proxy sends a request to the new discovery service");
    assert_eq!(request_line, "GET /v1/endpoints?watch=1&from=1 HTTP/1.1");
    assert_eq!(message_kinds(&client.request(&write_statement(3000))), "TDCZ");
}

/// A reload of a partly invalid file must not apply the valid part. After a valid reload, requests of an
/// added class are served, and those of a removed class are rejected after a grace period.
#[test]
fn a_reload_applies_the_complete_file_or_nothing() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let old = std::fs::read_to_string(&proxy.config_path).expect("the configuration file can be read");
    let mut reload = |text: String, log_text: &str| {
        std::fs::write(&proxy.config_path, text).expect("the configuration file can be written");
        proxy.signal("HUP");
        proxy.wait_for_log(log_text);
        client.request(&write_statement(3000).replace("usage-write", "usage"))
    };
    let new = old.replace("usage-write", "usage");
    for (valid, broken) in [
        (r#""DeadlineMs": 3000"#, r#""DeadlineMs": -5"#),
        (r#""DeadlineMs": 3000"#, r#""DeadlineMs": "soon""#),
        (r#""DeadlineMs": 3000,"#, ""),
        (r#""AttemptsCap": 6"#, r#""AttemptsCap": 0"#),
        (r#""AttemptsCap": 6,"#, ""),
        (r#""AttemptsCap": 6"#, r#""AttemptsCap": null"#),
        (r#""WarmUpMs": 18000"#, r#""Warm": 18000"#),
        (r#""limits""#, r#""limit""#),
        (&new, ""),
        (&new[new.len() / 2..], ""),
    ] {
        let response = reload(new.replace(valid, broken), "configuration unchanged");
        assert_eq!(error_field(&response, b'C').as_deref(), Some("42601"), "{valid}");
    }
    assert_eq!(message_kinds(&reload(new, "configuration reloaded")), "TDCZ");
    wait_until("the removed class is rejected", || {
        error_field(&client.request(&write_statement(3000)), b'C').as_deref() == Some("42601")
    });
}

/// A request that was sent before a reload may name a class that the reload removed. For a grace period, even
/// across further reloads, the request is served, unless the name now belongs to another class.
#[test]
fn a_removed_class_is_still_served_unless_its_name_was_reused() {
    let server = ScriptedServer::start(ServerRole::Primary, reply_with_row);
    let proxy = start_proxy(&[server.endpoint("a", "read-write", "Ready")]);
    let mut client = Client::connect(&proxy);
    let first = std::fs::read_to_string(&proxy.config_path).expect("the configuration file can be read");
    let second = first.replace("usage-write", "w2");
    let third = second.replace("own-changes", "r3").replace(r#""w2""#, r#""own-changes""#);
    for text in [&second, &third] {
        std::fs::write(&proxy.config_path, text).expect("the configuration file can be written");
        proxy.signal("HUP");
        proxy.wait_for_log("configuration reloaded");
    }
    for class in ["usage-write", "w2", "own-changes"] {
        assert_eq!(
            message_kinds(&client.request(&write_statement(3000).replace("usage-write", class))),
            "TDCZ",
            "{class}"
        );
    }
    let response = client.request(&read_statement(1000));
    assert_eq!(
        error_field(&response, b'C').as_deref(),
        Some("42601"),
        "expected a rejected read: the name now belongs to a class of writes"
    );
}

/// A signal that arrives while the process reads its configuration takes effect once the process has started.
#[rstest]
#[case::reload("HUP")]
#[case::graceful_shutdown("TERM")]
fn a_signal_during_startup_is_handled(#[case] name: &str) {
    let config =
        EXAMPLE_CONFIG.replace("127.0.0.1:5433", "127.0.0.1:0").replace("127.0.0.1:9800", "127.0.0.1:0");
    let (mut command, path) = serve_command(&config);
    let regular_file = format!("{path}.real");
    std::fs::rename(&path, &regular_file).expect("the configuration file can be renamed");
    let mkfifo = std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo can be started");
    assert!(mkfifo.success());
    let mut child = ChildGuard::spawn(&mut command);
    // The open blocks until the process opens the FIFO for reading.
    let mut fifo = std::fs::OpenOptions::new().write(true).open(&path).expect("the FIFO can be opened");
    send_signal(&child, name);
    std::fs::rename(&regular_file, &path).expect("the FIFO can be replaced by the file");
    let _ = fifo.write_all(config.as_bytes());
    drop(fifo);
    let mut log = std::io::BufReader::new(child.stderr.take().expect("stderr is piped"));
    let lines = std::io::BufRead::lines(&mut log).map_while(Result::ok);
    let expected = if name == "HUP" { "configuration reloaded" } else { "graceful shutdown started" };
    assert!(
        lines.into_iter().any(|line| line.contains(expected)),
        "expected the process to handle the signal"
    );
    if name == "TERM" {
        assert!(child.wait().expect("the process exits").success());
    }
}

/// Guards against a configuration that is served and can then not be reloaded.
#[test]
fn a_configuration_without_name_and_limits_can_be_replaced_by_itself() {
    let without = |keys: &[&str]| {
        let mut content: serde_json::Value =
            serde_json::from_str(include_str!("../examples/config.json")).expect("the example is JSON");
        let object = content.as_object_mut().expect("the example is an object");
        keys.iter().for_each(|key| drop(object.remove(*key).expect("the example has the key")));
        content.to_string()
    };
    let parse = |text: &str| Config::parse(text).expect("the configuration can be served").config;
    let shortest = without(&["name", "limits"]);
    assert!(parse(&shortest).parse_replacement(&shortest).is_ok());
    // A file that is only partly written is still rejected.
    let whole = parse(&without(&[]));
    for key in ["name", "limits"] {
        let replaced = whole.parse_replacement(&without(&[key]));
        assert!(matches!(replaced, Err(ConfigError::MissingKey { key: missing }) if missing == key));
    }
}
