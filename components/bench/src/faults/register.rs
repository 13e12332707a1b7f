//! Whether the operators' changes are linearizable: the branch's revision is a register with
//! compare-and-swap, checked by the algorithm of Wing, Gong and Lowe from todc-utils.

use super::history::RegisterStep;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// One operation on the register.
#[derive(Clone, Debug)]
enum Operation {
    Read(Option<u64>),
    /// Expected revision, and the new one where it was accepted.
    Swap(u64, Option<u64>),
}

struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match operation {
            Operation::Read(value) => (
                *value == Some(*state) || *state == 0,
                value.unwrap_or(*state),
            ),
            Operation::Swap(expected, Some(new)) => (*state == 0 || expected == state, *new),
            Operation::Swap(expected, None) => (*state == 0 || expected != state, *state),
        }
    }
}

/// Whether some order of the operations, within their times, explains what they returned. The first
/// operation sets the register, whose value before the run is not known.
pub fn is_linearizable(steps: &[RegisterStep]) -> bool {
    if steps.is_empty() {
        return true;
    }
    let mut actions: Vec<(usize, usize, Action<Operation>)> = Vec::new();
    for step in steps {
        let operation = |returned: bool| match step.read {
            Some(read) => Operation::Read(returned.then_some(read)),
            None => Operation::Swap(step.expected, step.accepted),
        };
        actions.push((step.called, step.process, Action::Call(operation(false))));
        actions.push((
            step.returned,
            step.process,
            Action::Response(operation(true)),
        ));
    }
    actions.sort_by_key(|(order, _, _)| *order);
    let actions = actions
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
}
