//! Memory for responses: bounded in sum, and never taken by large responses alone.

use eelgrassdeal_dispatch::BufferBudget;
use proptest::prelude::*;

const CAPACITY: usize = 32 * 1024 * 1024;
const SMALL: usize = 64 * 1024;

#[test]
fn one_response_may_have_three_eighths_of_the_budget() {
    let mut budget = BufferBudget::new(CAPACITY);
    assert!(!budget.try_resize(0, CAPACITY * 3 / 8 + 1));
    assert!(budget.try_resize(0, CAPACITY * 3 / 8));
    assert_eq!(budget.held(), CAPACITY * 3 / 8);
    assert!(budget.try_resize(CAPACITY * 3 / 8, 0));
    assert_eq!(budget.held(), 0);
}

proptest! {
    /// Responses that grow as far as they may, in any order, while some end.
    #[test]
    fn growing_responses_stay_in_the_budget_and_leave_room_for_small_ones(
        steps in proptest::collection::vec((0_usize..40, 1_usize..4_000_000, 0_u8..10), 1..600),
    ) {
        let mut budget = BufferBudget::new(CAPACITY);
        let mut sizes = vec![0_usize; 40];
        for (index, growth, choice) in steps {
            let wanted = if choice == 0 { 0 } else { sizes[index] + growth };
            let is_allowed = budget.try_resize(sizes[index], wanted);
            prop_assert!(is_allowed || wanted > sizes[index], "less was refused");
            if is_allowed {
                sizes[index] = wanted;
            }
            prop_assert_eq!(budget.held(), sizes.iter().sum::<usize>());
            prop_assert!(budget.held() <= CAPACITY);
            // Large responses leave a quarter of the budget.
            let large: usize = sizes.iter().filter(|size| **size > SMALL).sum();
            prop_assert!(large <= CAPACITY * 3 / 4, "{large} bytes of large responses");
        }
        let mut probe = budget.clone();
        let small: usize = sizes.iter().filter(|size| **size <= SMALL).sum();
        if small + SMALL <= CAPACITY / 4 {
            prop_assert!(probe.try_resize(0, SMALL), "no room for a small response");
        }
    }
}
