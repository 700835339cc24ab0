//! Splits the units of a place among hosts: max-min fair by demand, the rest evenly to the near.

/// One host that could use units of a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitClaimant {
    /// Units that it could use now, refused work included.
    pub demand: u32,
    /// Whether it stands near the place and shares in what nobody asks for.
    pub is_near: bool,
}

/// The target of each claimant, in their order; the sum never exceeds `limit`.
///
/// ```
/// use ledgespool::allocation;
/// let near = |demand| allocation::UnitClaimant { demand, is_near: true };
/// assert_eq!(allocation::split_units(9, &[near(0), near(0), near(0)]), vec![3, 3, 3]);
/// assert_eq!(allocation::split_units(9, &[near(8), near(0), near(0)]), vec![7, 1, 1]);
/// ```
#[must_use]
pub fn split_units(limit: u32, claimants: &[UnitClaimant]) -> Vec<u32> {
    let wanted: Vec<u32> = claimants.iter().copied().map(wanted_units).collect();
    let mut targets = water_fill(limit, &wanted);
    let rest = limit - targets.iter().sum::<u32>();
    spread_rest(rest, claimants, &mut targets);
    targets
}

/// A near host always wants one unit, so that its first request needs no planner.
fn wanted_units(claimant: UnitClaimant) -> u32 {
    if claimant.is_near {
        claimant.demand.max(1)
    } else {
        claimant.demand
    }
}

/// Raises the lowest together until units or wishes run out.
fn water_fill(limit: u32, wanted: &[u32]) -> Vec<u32> {
    let mut targets = vec![0_u32; wanted.len()];
    let mut left = limit;
    loop {
        let open: Vec<usize> = (0..wanted.len())
            .filter(|&index| targets[index] < wanted[index])
            .collect();
        if open.is_empty() || left == 0 {
            return targets;
        }
        let share = (left / u32::try_from(open.len()).unwrap_or(u32::MAX)).max(1);
        for index in open {
            let step = share.min(wanted[index] - targets[index]).min(left);
            targets[index] += step;
            left -= step;
        }
    }
}

fn spread_rest(rest: u32, claimants: &[UnitClaimant], targets: &mut [u32]) {
    let near: Vec<usize> = (0..claimants.len())
        .filter(|&index| claimants[index].is_near)
        .collect();
    let mut left = rest;
    while left > 0 && !near.is_empty() {
        let lowest = near.iter().copied().min_by_key(|&index| targets[index]);
        let Some(index) = lowest else {
            return;
        };
        targets[index] += 1;
        left -= 1;
    }
}
