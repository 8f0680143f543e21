//! The simulator's line protocol: input is sent to `simulator-adapter`, and its replies are checked.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Classes":[{"Credit":1,"DeadlineMs":1500,"Effect":"repeatable","LateValue":0,"Name":"look",
"OnTimeMs":400,"Stream":false,"WindowMs":5000},{"Credit":4,"DeadlineMs":3000,"DedupScope":"cell","Effect":"by_key",
"LateValue":0.5,"Name":"pay","OnTimeMs":500,"WindowMs":3000}],"Contract":{"AnswerSlackMs":20,"AskEveryMs":10000,
"ColdShare":0.2,"OverloadFactor":2.5,"OverloadForMs":1500,"StopSendingWithinMs":250,"WarmUpMs":17000},
"Discovery":"automatic","Domain":{"MaxAgeMs":[1000,0],"NeedsByClass":["lag_bound","mutate"],"Positions":true,
"ServerChecks":"bounce","SessionMarks":"brought","ShowsRole":"trailing","ZeroMs":1000},"GroupSize":2,"Index":0,
"Limits":{"AttemptsCap":6,"MayCancel":true,"Probes":false,"RetryAfter":true,"MaxRetryAfterMs":2000},
"Report":{"Columns":["x0","x1"],"How":"piggyback"},"TickMs":5,"Zone":"north","Zones":["north"],"NewKey":[1]}"#;

/// Runs the adapter with these input lines until it exits.
fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter can be started");
    let text = lines.join("\n") + "\n";
    let mut input = child.stdin.take().expect("stdin is piped");
    // The write may fail: the adapter exits at a malformed line without reading the rest.
    let _ = input.write_all(text.as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter exits")
}

/// Runs the adapter with these input lines and returns its reply lines. The adapter must exit successfully.
fn adapter_replies(lines: &[String]) -> Vec<String> {
    let output = run_adapter(lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("the replies are UTF-8").lines().map(str::to_owned).collect()
}

/// Returns the line that starts an instance.
fn enlist_line(instance: u64) -> String {
    format!("[\"ENLIST\",{instance},5,{}]", SETTINGS.replace('\n', ""))
}

/// Returns the line that registers an endpoint list under a number. Each server is given as its id and 1 for
/// the primary or 0 for a replica.
fn register_line(number: u64, servers: &[(u32, u8)]) -> String {
    let item =
        |(id, is_primary): &(u32, u8)| format!("[{id},\"north\",{is_primary},\"std\",9,\"healthy\",1,null]");
    format!("[\"REGISTER\",{number},[{}]]", servers.iter().map(item).collect::<Vec<_>>().join(","))
}

fn to_lines(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

/// Returns one batch that starts instance 3 with a primary, server 71, and a replica, server 72.
fn input_with_a_started_instance() -> Vec<String> {
    let mut input = to_lines(&[r#"["TURN",5000,1]"#]);
    input.extend([enlist_line(3), register_line(0, &[(71, 1), (72, 0)])]);
    input.extend(to_lines(&[r#"["VIEW",3,"remembered",1,0]"#, r#"["EOB"]"#]));
    input
}

/// Returns the reply lines that forward an attempt.
fn forward_lines(replies: &[String]) -> Vec<&String> {
    replies.iter().filter(|line| line.starts_with("[\"FORWARD\"")).collect()
}

#[test]
fn an_empty_batch_is_acknowledged_and_the_end_of_the_input_is_no_error() {
    assert_eq!(adapter_replies(&to_lines(&[r#"["TURN",8412.25,12]"#, r#"["EOB"]"#])), [r#"["OK",12]"#]);
}

#[test]
fn a_write_is_forwarded_to_the_listed_primary_once() {
    let mut input = input_with_a_started_instance();
    input.extend(to_lines(&[
        r#"["TURN",5010,2]"#,
        r#"["CALL",3,9007199254740,900.0,4,0,null,null,"user/a","pay",9]"#,
        r#"["EOB"]"#,
        r#"["TURN",5030,3]"#,
        r#"["ANSWER",3,9007199254740,0,71,"ok",20.0,true,16081,[4.02,1]]"#,
        r#"["EOB"]"#,
    ]));
    let replies = adapter_replies(&input);
    assert_eq!(forward_lines(&replies).len(), 1);
    assert!(forward_lines(&replies)[0].starts_with(r#"["FORWARD",3,9007199254740,71,"#), "{replies:?}");
    assert_eq!(replies.last().map(String::as_str), Some(r#"["OK",3]"#));
}

#[test]
fn a_reused_list_number_is_resolved_in_line_order() {
    let mut input = to_lines(&[r#"["TURN",5000,1]"#]);
    input.extend([enlist_line(1), register_line(4, &[(71, 1)])]);
    input.extend(to_lines(&[r#"["VIEW",1,"remembered",1,4]"#]));
    input.extend([enlist_line(2), register_line(4, &[(88, 1)])]);
    input.extend(to_lines(&[
        r#"["VIEW",2,"remembered",1,4]"#,
        r#"["CALL",1,10,900.0,4,0,null,null,"u","pay",9]"#,
        r#"["CALL",2,11,900.0,4,0,null,null,"u","pay",9]"#,
        r#"["EOB"]"#,
    ]));
    let replies = adapter_replies(&input);
    assert!(forward_lines(&replies)[0].starts_with(r#"["FORWARD",1,10,71,"#), "{replies:?}");
    assert!(forward_lines(&replies)[1].starts_with(r#"["FORWARD",2,11,88,"#), "{replies:?}");
}

#[test]
fn an_instance_that_restarts_within_a_batch_starts_without_its_old_state() {
    let mut input = input_with_a_started_instance();
    input.extend(to_lines(&[r#"["TURN",5010,2]"#, r#"["TEARDOWN",3]"#]));
    input.extend([enlist_line(3), register_line(0, &[(90, 1)])]);
    input.extend(to_lines(&[
        r#"["VIEW",3,"remembered",1,0]"#,
        r#"["CALL",3,10,900.0,4,0,null,null,"u","pay",9]"#,
        r#"["EOB"]"#,
    ]));
    let replies = adapter_replies(&input);
    assert!(forward_lines(&replies)[0].starts_with(r#"["FORWARD",3,10,90,"#), "{replies:?}");
}

#[test]
fn an_instance_that_was_torn_down_sends_no_actions() {
    let mut input = input_with_a_started_instance();
    input.extend(to_lines(&[
        r#"["TURN",5010,2]"#,
        r#"["CALL",3,10,900.0,4,0,null,null,"u","pay",9]"#,
        r#"["TEARDOWN",3]"#,
        r#"["EOB"]"#,
    ]));
    assert!(forward_lines(&adapter_replies(&input)).is_empty());
}

#[test]
fn a_malformed_line_ends_the_process_with_an_error_that_names_the_line() {
    let cases = [
        ("{\"a\":1}", "not an array"),
        ("[\"CALL\",", "not JSON"),
        (r#"["CALL",3,10,900.0,4,0,null,null,"u","nonsense",9]"#, "unknown class"),
        (r#"["ANSWER",3,10,0,71,"weird",1.0,true,0,null]"#, "unknown outcome"),
        (r#"["NOVELTY",3]"#, "unknown message"),
        (r#"["BELL",3]"#, "Nonce is missing"),
        (r#"["VIEW",3,"all",1,15]"#, "endpoint list 15 is not registered"),
    ];
    for (line, expected) in cases {
        let mut input = input_with_a_started_instance();
        input.extend(to_lines(&[r#"["TURN",5010,2]"#, line]));
        let output = run_adapter(&input);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert!(stderr.contains("line 7") && stderr.contains(expected), "{line}: {stderr}");
    }
}

#[test]
fn invalid_settings_are_reported_with_their_line_number() {
    let invalid_line = enlist_line(1).replace("\"ColdShare\":0.2", "\"ColdShare\":7");
    let output = run_adapter(&[r#"["TURN",5000,1]"#.into(), invalid_line]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains("line 2") && stderr.contains("initial capacity share"),
        "{stderr}"
    );
}
