//! Measures the look-up of a customer by key, and the encoded size of the keys, by number of keys.
//!
//! Figures: nanoseconds per look-up, from the key's bytes to its customer, and bytes per key in the
//! format that hosts send to each other. With 76, 10,000 and 100,000 keys a linear search took 162,
//! 10,290 and 236,577 ns; the table of digests took 120, 167 and 485 ns, including the computation of
//! the digest.

use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

use ledgespool::entry::customer::{CustomerRule, CustomerTable, KeyDigest};

/// Number of keys per customer.
const KEYS_PER_CUSTOMER: usize = 2;
/// Number of table look-ups per figure.
const SEARCHES: usize = 100_000;
/// Number of linear searches per figure; fewer, as they take longer.
const SCANS: usize = 1_000;

fn main() {
    println!("| keys | nanoseconds a search | by a list | bytes a key |");
    println!("|---|---|---|---|");
    for keys in [76, 10_000, 100_000] {
        let rules = rules(keys / KEYS_PER_CUSTOMER);
        let table = CustomerTable::from_rules(&rules);
        let search = measure(SEARCHES, keys, |key| {
            let digest = KeyDigest::of_key(key);
            table
                .find_by_key(digest)
                .map(|customer| customer.name.len())
        });
        let scan = measure(SCANS, keys, |key| {
            let digest = KeyDigest::of_key(key);
            let found = rules.iter().find(|rule| rule.keys.contains(&digest));
            found.map(|customer| customer.name.len())
        });
        let bytes = postcard::to_stdvec(&rules).map_or(0, |bytes| bytes.len());
        let bytes = bytes as f64 / keys as f64;
        println!("| {keys} | {search:.0} | {scan:.0} | {bytes:.0} |");
    }
}

fn key(number: usize) -> String {
    format!("key-of-twenty-{number:06}")
}

fn rules(customers: usize) -> Vec<Rc<CustomerRule>> {
    let rule = |customer: usize| CustomerRule {
        name: format!("customer-{customer}"),
        keys: (0..KEYS_PER_CUSTOMER)
            .map(|number| KeyDigest::of_key(key(customer * KEYS_PER_CUSTOMER + number).as_bytes()))
            .collect(),
        priority: None,
        limit: None,
        homes: Vec::new(),
    };
    (0..customers)
        .map(|customer| Rc::new(rule(customer)))
        .collect()
}

/// Returns the nanoseconds per search.
fn measure(searches: usize, keys: usize, search: impl Fn(&[u8]) -> Option<usize>) -> f64 {
    let keys_to_find: Vec<String> = (0..keys).map(key).collect();
    let start = Instant::now();
    for number in 0..searches {
        let key = keys_to_find[number.wrapping_mul(7_919) % keys].as_bytes();
        assert!(black_box(search(key)).is_some(), "each key is found");
    }
    start.elapsed().as_secs_f64() * 1e9 / searches as f64
}
