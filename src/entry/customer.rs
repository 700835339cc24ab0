//! The customers of a configuration, with their keys, limits and allowed regions.
//!
//! Keys are secrets and are not stored. When a configuration is read, each key becomes a
//! [`KeyDigest`]; only digests are stored, compared and sent to other hosts.

use std::{fmt, rc};

use sha2::Digest as _;

use super::hash;

/// Length of a stored digest, in bytes. With 128 bits, two keys share a digest by chance once in
/// 10^19 pairs, and a key that cannot be guessed cannot be recovered from it.
const DIGEST_BYTES: usize = 16;
/// Length of a printed fingerprint, in bytes: enough to distinguish the keys of a deployment, too
/// short to verify a guessed key.
const FINGERPRINT_BYTES: usize = 3;

/// The digest of a customer's key.
///
/// It prints as a short fingerprint, which distinguishes keys but does not reveal them.
///
/// ```
/// use ledgespool::entry::customer::KeyDigest;
/// let digest = KeyDigest::of_key(b"secret");
/// assert_eq!(digest, KeyDigest::of_key(b"secret"));
/// assert!(!format!("{digest:?} {digest}").contains("secret"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of_key(key: &[u8]) -> Self {
        Self(first_bytes(&sha2::Sha256::digest(key)))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Hashed again, so that the printed bytes are not part of the digest that other hosts get.
        let fingerprint: [u8; FINGERPRINT_BYTES] = first_bytes(&sha2::Sha256::digest(self.0));
        fingerprint
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

fn first_bytes<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut first = [0; N];
    first.copy_from_slice(&bytes[..N]);
    first
}

/// The rate limit of a customer, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Burst size: additional requests allowed at once.
    pub burst: f64,
}

impl RateLimit {
    /// Whether both numbers are finite, the rate is positive and the burst not negative.
    ///
    /// ```
    /// use ledgespool::entry::customer::RateLimit;
    /// assert!(RateLimit { per_s: 0.5, burst: 0.0 }.is_valid());
    /// assert!(!RateLimit { per_s: -1.0, burst: 0.0 }.is_valid());
    /// ```
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_rate = self.per_s.is_finite() && self.per_s > 0.0;
        is_rate && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// A customer as the operator configured it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CustomerRule {
    /// The name, which is sent to backend servers.
    pub name: String,
    /// The digests of the customer's keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, 0 first; overrides the route's priority.
    pub priority: Option<u32>,
    /// The rate limit, if there is one.
    pub limit: Option<RateLimit>,
    /// The regions that may serve its requests; empty if all may.
    pub homes: Vec<String>,
}

/// A fault of one customer, reported for a configuration that is installed nevertheless.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CustomerFault {
    /// No request can belong to this customer.
    #[error("customer {0:?} has no key")]
    NoKeys(String),
    /// Two customers have the same key; requests that carry it are refused.
    #[error("the key with fingerprint {key} is held by {first:?} and {second:?}")]
    SharedKey {
        /// The shared key.
        key: KeyDigest,
        /// One customer with the key.
        first: String,
        /// The other customer with the key.
        second: String,
    },
    /// The limit is invalid; the customer has no limit.
    #[error("the limit of customer {0:?} is below zero or no number")]
    InvalidLimit(String),
    /// The name cannot be sent to servers in a header; the customer's requests are refused.
    #[error("the name of customer {0:?} cannot stand in a header")]
    InvalidName(String),
}

/// The customers of a configuration, indexed by key and by name, so that a lookup takes constant
/// time.
#[derive(Debug, Default)]
pub struct CustomerTable {
    by_key: rustc_hash::FxHashMap<KeyDigest, rc::Rc<CustomerRule>>,
    /// Customers by the hash of their name.
    by_name: rustc_hash::FxHashMap<u64, rc::Rc<CustomerRule>>,
    faults: Vec<CustomerFault>,
}

impl CustomerTable {
    /// Builds the table and collects the faults of the customers.
    ///
    /// ```
    /// use ledgespool::entry::customer::{CustomerRule, CustomerTable, KeyDigest};
    /// let key = KeyDigest::of_key(b"one");
    /// let rule = CustomerRule {
    ///     name: "mill".to_owned(),
    ///     keys: vec![key],
    ///     priority: None,
    ///     limit: None,
    ///     homes: Vec::new(),
    /// };
    /// let table = CustomerTable::from_rules(&[std::rc::Rc::new(rule)]);
    /// assert_eq!(table.find_by_key(key).map(|customer| customer.name.as_str()), Some("mill"));
    /// assert!(table.find_by_key(KeyDigest::of_key(b"other")).is_none());
    /// ```
    #[must_use]
    pub fn from_rules(rules: &[rc::Rc<CustomerRule>]) -> Self {
        let mut table = Self::default();
        let mut shared = Vec::new();
        for rule in rules {
            if http::HeaderValue::from_str(&rule.name).is_err() || rule.name.is_empty() {
                table
                    .faults
                    .push(CustomerFault::InvalidName(rule.name.clone()));
                continue;
            }
            let name = hash::of_name(&rule.name);
            table.by_name.insert(name, rc::Rc::clone(rule));
            if rule.limit.is_some_and(|limit| !limit.is_valid()) {
                table
                    .faults
                    .push(CustomerFault::InvalidLimit(rule.name.clone()));
            }
            if rule.keys.is_empty() {
                table.faults.push(CustomerFault::NoKeys(rule.name.clone()));
            }
            for key in &rule.keys {
                let previous = table.by_key.insert(*key, rc::Rc::clone(rule));
                if let Some(previous) = previous.filter(|previous| previous.name != rule.name) {
                    shared.push(*key);
                    table.faults.push(CustomerFault::SharedKey {
                        key: *key,
                        first: previous.name.clone(),
                        second: rule.name.clone(),
                    });
                }
            }
        }
        table.by_key.retain(|key, _| !shared.contains(key));
        table
    }

    /// Finds the customer with this key.
    #[must_use]
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&rc::Rc<CustomerRule>> {
        self.by_key.get(&key)
    }

    /// Finds the customer whose name has this hash.
    #[must_use]
    pub fn find_by_name_hash(&self, name_hash: u64) -> Option<&rc::Rc<CustomerRule>> {
        self.by_name.get(&name_hash)
    }

    /// Whether any customer has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.by_name
            .values()
            .any(|customer| customer.limit.is_some())
    }

    /// The faults found when the table was built.
    #[must_use]
    pub fn faults(&self) -> &[CustomerFault] {
        &self.faults
    }
}

/// The regions in both `homes`, those of a route, and `others`, those of a customer. An empty list
/// allows all regions. Returns `None` if there is no common region.
///
/// ```
/// use ledgespool::entry::customer;
/// let (one, two) = (["a".to_owned()], ["b".to_owned()]);
/// assert_eq!(customer::common_homes(&one, &[]), Some(vec!["a".to_owned()]));
/// assert_eq!(customer::common_homes(&one, &two), None);
/// ```
#[must_use]
pub fn common_homes(homes: &[String], others: &[String]) -> Option<Vec<String>> {
    if homes.is_empty() || others.is_empty() {
        return Some([homes, others].concat());
    }
    let common = homes.iter().filter(|home| others.contains(home));
    let common: Vec<String> = common.cloned().collect();
    (!common.is_empty()).then_some(common)
}
