//! Tests of `fleet_model`.

use super::*;
use crate::fleet::rule_checker::Rule;
use crate::fleet::scenario::default_plan;

/// Guards against a report that contains only the checker's violations: a trial that failed to start a
/// process would then pass.
#[test]
fn violations_that_the_trial_recorded_itself_are_reported_with_those_of_the_checker() {
    let mut model = FleetModel::new(default_plan());
    model.report.violations.push("the trial itself: a proxy can't be started".to_owned());
    model.checker.report_violation(START_S + 1.0, Rule::AnswerInTime, "planted".to_owned());
    let report = model.finish(START_S + 2.0);
    assert_eq!(report.violations.len(), 2, "{:?}", report.violations);
    assert!(report.violations[0].contains("can't be started"));
    assert!(report.violations[1].contains("planted"));
}
