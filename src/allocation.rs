//! Splits the units of a place among hosts by their offered load.
//!
//! Each host gets its load plus a reserve proportional to the square root of the load. This keeps
//! the probability of waiting about equal for large and small hosts (the square-root staffing rule
//! of Halfin and Whitt, 1981). For measurements see `docs/design/budgets.md`.

/// A host that may get units of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitClaimant {
    /// Its offered load in thousandths of a unit: the average number of units in use, plus the
    /// units that waiting and refused requests would have used.
    pub load_milli: u32,
    /// Whether it is local to the place. A local host counts with one extra unit of load, so that
    /// its first requests do not have to wait for the planner.
    pub is_local: bool,
}

const MILLI_PER_UNIT: f64 = 1_000.0;
/// Number of bisection steps in the search for the reserve factor; enough for whole units.
const BISECTION_STEPS: usize = 40;

/// The number of units for each claimant, in the same order. The sum never exceeds `limit`.
///
/// ```
/// use ledgespool::allocation;
/// let local = |load_milli| allocation::UnitClaimant { load_milli, is_local: true };
/// assert_eq!(allocation::split_units(9, &[local(0), local(0), local(0)]), vec![3, 3, 3]);
/// assert_eq!(allocation::split_units(9, &[local(8_000), local(0), local(0)]), vec![7, 1, 1]);
/// ```
#[must_use]
pub fn split_units(limit: u32, claimants: &[UnitClaimant]) -> Vec<u32> {
    let loads: Vec<f64> = claimants.iter().copied().map(effective_load).collect();
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

fn effective_load(claimant: UnitClaimant) -> f64 {
    f64::from(claimant.load_milli) / MILLI_PER_UNIT + if claimant.is_local { 1.0 } else { 0.0 }
}

/// The reserve factor with which loads and reserves add up to the limit.
fn reserve_factor(limit: f64, loads: &[f64]) -> f64 {
    let sum = |factor: f64| -> f64 { loads.iter().map(|load| load + factor * load.sqrt()).sum() };
    let (mut low, mut high) = (0.0, limit);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if sum(middle) <= limit {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Rounds shares to whole units by the largest-remainder method. Claimants with load but no unit
/// come first.
fn round_shares(limit: u32, shares: &[f64], loads: &[f64]) -> Vec<u32> {
    let mut targets: Vec<u32> = shares.iter().map(|share| share.floor() as u32).collect();
    let mut remaining = limit.saturating_sub(targets.iter().sum());
    let mut order: Vec<usize> = (0..shares.len())
        .filter(|&index| loads[index] > 0.0)
        .collect();
    let remainder = |index: usize| shares[index] - shares[index].floor();
    order.sort_by(|&one, &other| {
        let has_unit = |index: usize| targets[index] > 0;
        has_unit(one)
            .cmp(&has_unit(other))
            .then(remainder(other).total_cmp(&remainder(one)))
    });
    for index in order {
        if remaining == 0 {
            break;
        }
        targets[index] += 1;
        remaining -= 1;
    }
    targets
}
