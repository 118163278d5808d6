//! Estimates of the output length, which is unknown until a request ends.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::policy::{ClassKey, WorkspaceKey};

/// Upper bound of the histograms, in tokens.
const MAX_LENGTH: u64 = 131_072;
/// Minimum samples before a workspace's own histogram is used.
const MIN_SAMPLES: u64 = 32;
/// Assumed output length in tokens before any sample.
const DEFAULT_LENGTH: u32 = 128;

/// Histograms of output lengths, by class and by class and workspace.
#[derive(Debug, Default)]
pub struct Estimator {
    by_class: HashMap<ClassKey, Histogram<u32>>,
    by_workspace: HashMap<(ClassKey, WorkspaceKey), Histogram<u32>>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LENGTH, 1).expect("the bounds are valid")
}

impl Estimator {
    /// An estimator without samples.
    pub fn new() -> Self {
        Estimator::default()
    }

    /// Records the output length of a finished request.
    pub fn record(&mut self, class: ClassKey, workspace: WorkspaceKey, tokens: u32) {
        let tokens = u64::from(tokens.max(1));
        let of_class = self.by_class.entry(class).or_insert_with(histogram);
        of_class.saturating_record(tokens);
        let of_workspace = self.by_workspace.entry((class, workspace)).or_insert_with(histogram);
        of_workspace.saturating_record(tokens);
    }

    /// Mean output length of a class, once it has samples.
    pub fn mean(&self, class: ClassKey) -> Option<f64> {
        self.by_class.get(&class).map(Histogram::mean)
    }

    /// Expected remaining tokens of a request that has produced `produced`: the median of the
    /// longer outputs.
    pub fn remaining(&self, class: ClassKey, workspace: WorkspaceKey, produced: u32) -> u32 {
        self.known_remaining(class, workspace, produced).unwrap_or(DEFAULT_LENGTH)
    }

    /// Like [`Estimator::remaining`]; `None` without samples of longer outputs.
    pub fn known_remaining(
        &self,
        class: ClassKey,
        workspace: WorkspaceKey,
        produced: u32,
    ) -> Option<u32> {
        let own = self.by_workspace.get(&(class, workspace)).filter(|h| h.len() >= MIN_SAMPLES);
        let histogram = own.or_else(|| self.by_class.get(&class))?;
        let produced = u64::from(produced);
        let shorter = histogram.count_between(0, produced);
        let longer = histogram.len().saturating_sub(shorter);
        if longer == 0 {
            return None;
        }
        let quantile = (shorter as f64 + longer as f64 / 2.0) / histogram.len() as f64;
        let median = histogram.value_at_quantile(quantile.min(1.0));
        Some(median.saturating_sub(produced).max(1) as u32)
    }
}
