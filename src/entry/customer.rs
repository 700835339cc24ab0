//! Who asks: the customers of a configuration, the keys by which their requests are told apart, and
//! what each may ask.
//!
//! A key is a secret, so none is held: where a configuration is read, each key becomes a
//! [`KeyDigest`], and only digests are kept, compared and sent to other hosts.

use std::{fmt, rc};

use sha2::Digest as _;

use super::hash;

/// Bytes of a digest that are kept. With 128 bits two keys share a digest by chance once in 10^19
/// pairs, and a key cannot be found from it unless it can be guessed.
const DIGEST_BYTES: usize = 16;
/// Bytes of a fingerprint: enough to tell the keys of a deployment apart, too few to try a guessed
/// key against.
const FINGERPRINT_BYTES: usize = 3;

/// Stands for a key without telling it.
///
/// It prints as a short fingerprint, which tells keys apart and does not help to find one.
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
    /// The digest of a key.
    #[must_use]
    pub fn of_key(key: &[u8]) -> Self {
        Self(first_bytes(&sha2::Sha256::digest(key)))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Hashed once more: what is printed must not be a part of what other hosts are told.
        let print: [u8; FINGERPRINT_BYTES] = first_bytes(&sha2::Sha256::digest(self.0));
        print.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
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

/// How many requests of a customer all hosts together may let through.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimit {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beside, at any one time.
    pub burst: f64,
}

impl RateLimit {
    /// Whether a number of requests can be told from it.
    ///
    /// ```
    /// use ledgespool::entry::customer::RateLimit;
    /// assert!(RateLimit { per_s: 0.5, burst: 0.0 }.is_sound());
    /// assert!(!RateLimit { per_s: -1.0, burst: 0.0 }.is_sound());
    /// ```
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let is_rate = self.per_s.is_finite() && self.per_s > 0.0;
        is_rate && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// A customer as the operator configured it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CustomerRule {
    /// The name that backend servers are told.
    pub name: String,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
    /// How urgent its requests are, 0 first; goes before the route's.
    pub priority: Option<u32>,
    /// Its limit, if it has one.
    pub limit: Option<RateLimit>,
    /// The only regions that may serve it; empty for all.
    pub homes: Vec<String>,
}

/// What is wrong with a customer of a configuration that is installed all the same.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CustomerFault {
    /// Nobody can ask as this customer.
    #[error("customer {0:?} has no key")]
    WithoutKey(String),
    /// A key does not say who asks; requests that carry it are refused.
    #[error("the key with fingerprint {key} is held by {first:?} and {second:?}")]
    SharedKey {
        /// The key.
        key: KeyDigest,
        /// Who holds it.
        first: String,
        /// Who holds it as well.
        second: String,
    },
    /// Its limit is no number of requests; it goes without one.
    #[error("the limit of customer {0:?} is below zero or no number")]
    LimitUnfit(String),
    /// Its name cannot be told to servers; its requests are refused.
    #[error("the name of customer {0:?} cannot stand in a header")]
    NameUnfit(String),
}

/// The customers of a configuration by their keys. The search takes the same time for any number.
#[derive(Debug, Default)]
pub struct CustomerTable {
    by_key: rustc_hash::FxHashMap<KeyDigest, rc::Rc<CustomerRule>>,
    /// By a hash of the name.
    by_name: rustc_hash::FxHashMap<u64, rc::Rc<CustomerRule>>,
    faults: Vec<CustomerFault>,
}

impl CustomerTable {
    /// Makes the table, and collects what is wrong.
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
    /// assert_eq!(table.holder_of(key).map(|customer| customer.name.as_str()), Some("mill"));
    /// assert!(table.holder_of(KeyDigest::of_key(b"other")).is_none());
    /// ```
    #[must_use]
    pub fn from_rules(rules: &[rc::Rc<CustomerRule>]) -> Self {
        let mut table = Self::default();
        let mut shared = Vec::new();
        for rule in rules {
            if http::HeaderValue::from_str(&rule.name).is_err() || rule.name.is_empty() {
                table
                    .faults
                    .push(CustomerFault::NameUnfit(rule.name.clone()));
                continue;
            }
            let name = hash::of_name(&rule.name);
            table.by_name.insert(name, rc::Rc::clone(rule));
            if rule.limit.is_some_and(|limit| !limit.is_sound()) {
                table
                    .faults
                    .push(CustomerFault::LimitUnfit(rule.name.clone()));
            }
            if rule.keys.is_empty() {
                table
                    .faults
                    .push(CustomerFault::WithoutKey(rule.name.clone()));
            }
            for key in &rule.keys {
                let before = table.by_key.insert(*key, rc::Rc::clone(rule));
                if let Some(before) = before.filter(|before| before.name != rule.name) {
                    shared.push(*key);
                    table.faults.push(CustomerFault::SharedKey {
                        key: *key,
                        first: before.name.clone(),
                        second: rule.name.clone(),
                    });
                }
            }
        }
        table.by_key.retain(|key, _| !shared.contains(key));
        table
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn holder_of(&self, key: KeyDigest) -> Option<&rc::Rc<CustomerRule>> {
        self.by_key.get(&key)
    }

    /// The customer with this hash of its name.
    #[must_use]
    pub fn named(&self, name_hash: u64) -> Option<&rc::Rc<CustomerRule>> {
        self.by_name.get(&name_hash)
    }

    /// Whether any customer has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.by_name
            .values()
            .any(|customer| customer.limit.is_some())
    }

    /// What is wrong with the customers.
    #[must_use]
    pub fn faults(&self) -> &[CustomerFault] {
        &self.faults
    }
}

/// The regions that may serve a request when its route has `homes` and its customer has
/// `others`, both empty for all; `None` when they have none in common.
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
