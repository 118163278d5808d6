//! Rendezvous (highest-random-weight) hashing: which instance has a role, such as the dispatcher of
//! a pool.
//!
//! Instances with more processor time are preferred: a role is work on behalf of all others, and an
//! instance that has it on an eighth of a core answers late while its neighbour on half a core is
//! idle. Instances of the same capacity are equally likely.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Exponent of the capacity in an instance's weight: one with twice the processor time is eight
/// times as likely. With 8 instances of half a core beside 53 of an eighth, a role is on one of the
/// 8 with a probability of nine in ten.
const CAPACITY_EXPONENT: i32 = 3;
/// Assumed capacity of an instance whose capacity is unknown: one core, in thousandths of a core.
pub const DEFAULT_CAPACITY: u32 = 1_000;
/// Bits of a random number that an `f64` fraction represents without rounding.
const FRACTION_BITS: u32 = 53;

/// An instance that may get a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Processor time, in thousandths of a core.
    pub capacity: u32,
}

impl<'a> From<&'a str> for Candidate<'a> {
    fn from(name: &'a str) -> Self {
        Candidate { name, capacity: DEFAULT_CAPACITY }
    }
}

impl Candidate<'_> {
    /// Sort key of the candidate for `role`; the smallest is first. Dividing the negative logarithm
    /// of a uniform random fraction by a weight makes the probability of being first proportional
    /// to that weight.
    fn sort_key(&self, role: &str) -> f64 {
        let random = (weight(role, self.name) >> (u64::BITS - FRACTION_BITS)) + 1;
        let fraction = random as f64 / (1_u64 << FRACTION_BITS) as f64;
        let capacity = f64::from(self.capacity.max(1)) / f64::from(DEFAULT_CAPACITY);
        -fraction.ln() / capacity.powi(CAPACITY_EXPONENT)
    }
}

/// The hash of `name` for `role`. All instances compute the same one.
pub fn weight(role: &str, name: &str) -> u64 {
    let seed = xxh3_64_with_seed(role.as_bytes(), 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// The candidate that is first for `role`, or `None` if there is none.
pub fn first<'a, C>(role: &str, candidates: impl IntoIterator<Item = C>) -> Option<&'a str>
where
    C: Into<Candidate<'a>>,
{
    let candidates = candidates.into_iter().map(Into::into);
    let keyed = candidates.map(|candidate| (candidate.sort_key(role), candidate.name));
    keyed.min_by(compare).map(|(_, name)| name)
}

/// All candidates in their order for `role`.
pub fn order<'a, C>(role: &str, candidates: impl IntoIterator<Item = C>) -> Vec<&'a str>
where
    C: Into<Candidate<'a>>,
{
    let candidates = candidates.into_iter().map(Into::into);
    let keyed = candidates.map(|candidate| (candidate.sort_key(role), candidate.name));
    let mut keyed: Vec<(f64, &str)> = keyed.collect();
    keyed.sort_by(compare);
    keyed.into_iter().map(|(_, name)| name).collect()
}

/// The order of two candidates by their sort keys; names decide between equal ones.
fn compare(one: &(f64, &str), other: &(f64, &str)) -> std::cmp::Ordering {
    one.0.total_cmp(&other.0).then_with(|| other.1.cmp(one.1))
}
