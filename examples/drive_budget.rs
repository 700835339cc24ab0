//! Uses the budget of one place directly: units are moved in two steps, so that the sum of grants
//! never exceeds the limit.
//!
//! `cargo run --example drive_budget`

use ledgespool::{budget, member};

fn host(name: &str) -> member::HostIdentity {
    member::HostIdentity {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn main() {
    let key = budget::PlaceKey::with_hall("desk", "perth-1");
    let mut budget = budget::PlaceBudget::with_limit(key, 9);
    println!("entry-1 gets {}", budget.raise(&host("entry-1"), 9));
    budget.lower(&host("entry-1"), 5, 2);
    println!(
        "entry-2 gets {} before the acknowledgement",
        budget.raise(&host("entry-2"), 4)
    );
    budget.acknowledge(&host("entry-1"), 2, 5);
    println!(
        "entry-2 gets {} after it",
        budget.raise(&host("entry-2"), 4)
    );
}
