//! Tests of the operators' file: defaults, overrides and error messages.

use pipittack_core::api::FailoverSettings;

use super::OperatorSettings;

#[test]
fn the_file_in_deploy_and_an_empty_file_have_the_defaults() {
    let text = include_str!("../../deploy/operators.lisp");
    assert_eq!(OperatorSettings::parse("operators.lisp", text), Ok(OperatorSettings::default()));
    assert_eq!(OperatorSettings::parse("empty", "; nothing"), Ok(OperatorSettings::default()));
}

#[test]
fn settings_override_the_defaults() {
    let text = "(failover (hold-count 7) (patience 2) ; a comment\n (hold-over 0.25))";
    let expected = FailoverSettings {
        max_buffered_writes: 7,
        suspicion_factor: 2.0,
        min_late_recovery_chance: 0.25,
        ..FailoverSettings::default()
    };
    assert_eq!(OperatorSettings::parse("f", text), Ok(OperatorSettings { failover: expected }));
}

#[rstest::rstest]
#[case::not_closed("(failover (hold-count 7)", "f:1:")]
#[case::not_a_form("7", "f:1:1: expected (failover ...), found 7")]
#[case::unknown_form("(failovr)", "f:1:1: expected (failover ...)")]
#[case::repeated_form("(failover)\n(failover)", "f:2:1: expected each form once")]
#[case::repeated_setting("(failover (patience 2)\n(patience 3))", "f:2:1: expected each setting once")]
#[case::unknown_setting("(failover\n  (hold 7))", "f:2:3: expected hold-count, hold-bytes")]
#[case::not_a_number("(failover (patience soon))", "f:1:11: expected (patience NUMBER)")]
#[case::two_numbers("(failover (patience 1 2))", "f:1:11: expected (patience NUMBER)")]
#[case::negative("(failover (hold-count -3))", "f:1:11: expected a whole number of 1 or more")]
#[case::fraction("(failover (hold-bytes 0.5))", "f:1:11: expected a whole number of 1 or more")]
#[case::out_of_range("(failover (hold-over 1.5))", "f:1:11: expected a share from 0 to 1 for hold-over")]
fn a_problem_is_reported_with_its_position_and_expectation(#[case] text: &str, #[case] start: &str) {
    let problems = OperatorSettings::parse("f", text).expect_err("the text has a problem").to_string();
    assert!(problems.starts_with(start), "{problems}");
}

#[test]
fn all_problems_are_reported_together() {
    let text = "(failover (patience 0)\n (hold-share 2))\n(other)";
    let problems = OperatorSettings::parse("f", text).expect_err("the text has problems").to_string();
    assert_eq!(problems.lines().count(), 3, "{problems}");
}
