use std::cell::Cell;
use std::rc::Rc;

use rstest::rstest;
use tokio::task::{spawn_local, yield_now, LocalSet};

use super::{charge, Work};

/// Largest amount of work in one turn.
const MAX_WORK_PER_TURN: usize = 32;

/// Guards against a runtime whose budget is larger than the turns that this module promises.
#[rstest]
#[case::system_calls(Work::SystemCall)]
#[case::messages(Work::Message)]
#[tokio::test(flavor = "current_thread")]
async fn a_task_that_never_waits_lets_other_tasks_run(#[case] work: Work) {
    LocalSet::new()
        .run_until(async {
            let done = Rc::new(Cell::new(0));
            let done_by_task = done.clone();
            let task = spawn_local(async move {
                loop {
                    charge(work).await;
                    done_by_task.set(done_by_task.get() + 1);
                }
            });
            for _ in 0..100 {
                let before = done.get();
                yield_now().await;
                let done_in_turn = done.get() - before;
                assert!(done_in_turn <= MAX_WORK_PER_TURN, "{done_in_turn} in one turn");
            }
            assert!(done.get() > 0);
            task.abort();
        })
        .await;
}
