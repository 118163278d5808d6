//! Highest-random-weight ranking: which instance has a role, such as the dispatcher of a pool.
//!
//! Instances with more processor time are preferred: a role is work for all others, and one that has
//! it on an eighth of a core answers late while its neighbour on half a core is idle. Among
//! instances of the same capacity every one is as likely as any other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much an instance with more processor time is preferred: one with twice as much has eight times
/// the chance. With 8 instances of half a core beside 53 of an eighth, a role is on one of the 8 with
/// a chance of nine in ten.
const PREFERENCE: i32 = 3;
/// The capacity of an instance of which none is known: one core.
pub const DEFAULT_CAPACITY: u32 = 1_000;
/// Bits of a random number that a fraction holds without rounding.
const FRACTION_BITS: u32 = 53;

/// One that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its processor time, in thousandths of a core.
    pub capacity: u32,
}

impl<'a> From<&'a str> for Candidate<'a> {
    fn from(name: &'a str) -> Self {
        Candidate { name, capacity: DEFAULT_CAPACITY }
    }
}

impl Candidate<'_> {
    /// What decides its place for `role`; the smallest is first. The logarithm of a random fraction
    /// over a weight makes the chance of being first proportional to that weight.
    fn distance(&self, role: &str) -> f64 {
        let random = (weight(role, self.name) >> (u64::BITS - FRACTION_BITS)) + 1;
        let fraction = random as f64 / (1_u64 << FRACTION_BITS) as f64;
        let capacity = f64::from(self.capacity.max(1)) / f64::from(DEFAULT_CAPACITY);
        -fraction.ln() / capacity.powi(PREFERENCE)
    }
}

/// The weight of `name` for `role`. All instances compute the same one.
pub fn weight(role: &str, name: &str) -> u64 {
    let seed = xxh3_64_with_seed(role.as_bytes(), 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// The candidate that is first for `role`, or `None` if there is none.
pub fn first<'a, C>(role: &str, candidates: impl IntoIterator<Item = C>) -> Option<&'a str>
where
    C: Into<Candidate<'a>>,
{
    order(role, candidates).into_iter().next()
}

/// All candidates, the first one for `role` first.
pub fn order<'a, C>(role: &str, candidates: impl IntoIterator<Item = C>) -> Vec<&'a str>
where
    C: Into<Candidate<'a>>,
{
    let candidates = candidates.into_iter().map(Into::into);
    let placed = candidates.map(|candidate| (candidate.distance(role), candidate.name));
    let mut placed: Vec<(f64, &str)> = placed.collect();
    placed.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
    placed.into_iter().map(|(_, name)| name).collect()
}
