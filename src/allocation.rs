//! Splits the units of a place among hosts by their offered load.
//!
//! Each host gets its load and a reserve that grows with the square root of it, which keeps the
//! chance of waiting about equal for large and small hosts (the square-root staffing rule of
//! Halfin and Whitt, 1981). What was measured of it
//! stands in `docs/design/budgets.md`.

/// One host that could use units of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitClaimant {
    /// Its offered load in thousandths of a unit: units in use on average, and those that waiting
    /// and refused requests would have used.
    pub load_milli: u32,
    /// Whether it stands near the place: then it is counted with one unit more, so that its first
    /// requests need no planner.
    pub is_near: bool,
}

const MILLI: f64 = 1_000.0;
/// Halvings of the search for the reserve factor: enough for whole units.
const SEARCH_STEPS: usize = 40;

/// The target of each claimant, in their order; the sum never exceeds `limit`.
///
/// ```
/// use ledgespool::allocation;
/// let near = |load_milli| allocation::UnitClaimant { load_milli, is_near: true };
/// assert_eq!(allocation::split_units(9, &[near(0), near(0), near(0)]), vec![3, 3, 3]);
/// assert_eq!(allocation::split_units(9, &[near(8_000), near(0), near(0)]), vec![7, 1, 1]);
/// ```
#[must_use]
pub fn split_units(limit: u32, claimants: &[UnitClaimant]) -> Vec<u32> {
    let loads: Vec<f64> = claimants.iter().copied().map(counted_load).collect();
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return vec![0; claimants.len()];
    }
    let limit_units = f64::from(limit);
    let shares: Vec<f64> = if total >= limit_units {
        loads
            .iter()
            .map(|load| load * limit_units / total)
            .collect()
    } else {
        let factor = reserve_factor(limit_units, &loads);
        loads
            .iter()
            .map(|load| load + factor * load.sqrt())
            .collect()
    };
    round_shares(limit, &shares, &loads)
}

fn counted_load(claimant: UnitClaimant) -> f64 {
    f64::from(claimant.load_milli) / MILLI + if claimant.is_near { 1.0 } else { 0.0 }
}

/// The factor by which loads and reserves add up to the limit.
fn reserve_factor(limit: f64, loads: &[f64]) -> f64 {
    let sum = |factor: f64| -> f64 { loads.iter().map(|load| load + factor * load.sqrt()).sum() };
    let (mut low, mut high) = (0.0, limit);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if sum(middle) <= limit {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Whole units by largest remainder; whoever has a load gets one unit before others get a second.
fn round_shares(limit: u32, shares: &[f64], loads: &[f64]) -> Vec<u32> {
    let mut targets: Vec<u32> = shares.iter().map(|share| share.floor() as u32).collect();
    let mut left = limit.saturating_sub(targets.iter().sum());
    let mut order: Vec<usize> = (0..shares.len())
        .filter(|&index| loads[index] > 0.0)
        .collect();
    let remainder = |index: usize| shares[index] - shares[index].floor();
    order.sort_by(|&one, &other| {
        let none = |index: usize| targets[index] > 0;
        none(one)
            .cmp(&none(other))
            .then(remainder(other).total_cmp(&remainder(one)))
    });
    for index in order {
        if left == 0 {
            break;
        }
        targets[index] += 1;
        left -= 1;
    }
    targets
}
