use super::*;
use crate::fleet::link_faults::LinkFault;
use crate::fleet::plan::{CachedList, Fault, LinkTarget, Selection};

#[test]
fn a_scenario_overrides_the_default_plan() {
    let text = "
        ; a small one
        (fleet (proxies 12) (sets 2) (load 0.4))
        (classes (repeatable (bound 1500) (share 3)) (once (worth 6) (share 1) (work 40)))
        (start (within 0.05) (remembered (old 0.33)) (cold yes))
        (at 2 (kill (share 0.7) 1.5) (link (zone 1) (servers (zone 0)) deaf 4))
        (at 3 (list-down 20) (link (share 0.3) list (slow 40) 1))";
    let plan = parse(text).expect("the scenario is valid");
    assert_eq!((plan.proxy_count, plan.settings.instance_count, plan.settings.classes.len()), (12, 12, 2));
    let capacity = (2 * 3 * 5) as f64 / 0.07;
    assert!((plan.requests_per_s - 0.4 * capacity).abs() < 1e-6);
    assert!((plan.server.mean_work_s - 0.07).abs() < 1e-9);
    assert_eq!(plan.cached_list, CachedList::Outdated { replaced_share: 0.33 });
    let kill = Fault::Kill { proxies: Selection::Share(0.7), downtime_s: 1.5 };
    assert_eq!(plan.faults[0], ScheduledFault { at_s: 2.0, fault: kill });
    let link = Fault::Link {
        proxies: Selection::Zone(1),
        target: LinkTarget::Servers(Selection::Zone(0)),
        fault: LinkFault::DropResponses,
        duration_s: 4.0,
    };
    assert_eq!(plan.faults[1].fault, link);
    let mut resized = plan.clone();
    resize(&mut resized, Some(300), Some(60), None);
    assert_eq!((resized.replica_set_count, resized.settings.instance_count), (20, 300));
    assert!((resized.requests_per_s / plan.requests_per_s - 10.0).abs() < 1e-6);
    assert!((resized.replication.apply_work_s - plan.replication.apply_work_s).abs() < 1e-9);
}

#[test]
fn an_error_states_the_line_and_column_of_the_malformed_form() {
    let error = |text: &str| parse(text).expect_err("the scenario is malformed").to_string();
    assert_eq!(error("(fleet\n  (proxies many))"), "2:12: expected a number, found many");
    assert!(error("(at 2 (explode all))").starts_with("1:7: expected a fault"));
    assert!(error("(fleet (proxies 3)").starts_with("1:"), "{}", error("(fleet (proxies 3)"));
    assert!(error("(at 1 (kill (share 0.5)))").contains("one more number"));
}
