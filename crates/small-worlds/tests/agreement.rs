//! Three replicas, two orders under one serial: every order of messages, restarts and losses, to a depth.

use hingestage_small_worlds::agreement::{Defect, Troubles, World};
use hingestage_small_worlds::search::search;

/// Steps in a row. The program tries more of them.
const DEPTH: usize = 6;
/// The same after a lost order, where a decision takes as many more.
const LOST_ORDER_DEPTH: usize = 9;
/// Steps within which each planted fault shows.
const FOUND_WITHIN: usize = 10;

#[test]
fn no_order_of_messages_breaks_agreement() {
    let worlds = [
        Troubles { jumps: 1, ..Troubles::default() },
        Troubles { restarts: 1, jumps: 1, ..Troubles::default() },
        Troubles { wipes: 1, jumps: 1, ..Troubles::default() },
    ];
    for troubles in worlds {
        let tried = search(World::new(troubles, None), DEPTH)
            .unwrap_or_else(|broken| panic!("{troubles:?}: {broken}"));
        println!("{troubles:?}: {tried:?}");
        assert!(tried.states > 1_000, "{troubles:?}: {tried:?}");
    }
}

/// Guards against an order that changes nothing and doesn't overtake an earlier, lost one.
#[test]
fn no_order_of_messages_undoes_a_repeated_order() {
    let worlds = [
        Troubles { jumps: 2, ..Troubles::default() },
        Troubles { restarts: 1, jumps: 1, ..Troubles::default() },
    ];
    for troubles in worlds {
        let tried = search(World::after_lost_order(troubles, None), LOST_ORDER_DEPTH)
            .unwrap_or_else(|broken| panic!("{troubles:?}: {broken}"));
        println!("{troubles:?}: {tried:?}");
        assert!(tried.states > 1_000, "{troubles:?}: {tried:?}");
    }
}

#[test]
fn an_order_that_is_acknowledged_without_a_proposal_is_found() {
    let troubles = Troubles { jumps: 2, ..Troubles::default() };
    let world = World::after_lost_order(troubles, Some(Defect::AckWithoutProposal));
    let broken = search(world, FOUND_WITHIN).expect_err("not found");
    println!("{broken}");
}

#[test]
fn each_planted_fault_is_found() {
    let restart = Troubles { restarts: 1, ..Troubles::default() };
    let wipe = Troubles { wipes: 1, ..Troubles::default() };
    let planted = [
        (Defect::PromiseNotOnDisk, restart),
        (Defect::AcceptedNotOnDisk, restart),
        (Defect::LostDiskVotes, wipe),
    ];
    for (defect, troubles) in planted {
        let broken = search(World::new(troubles, Some(defect)), FOUND_WITHIN).err();
        let broken = broken.unwrap_or_else(|| panic!("{defect:?} was not found"));
        println!("{defect:?}: {broken}");
    }
}
