//! Differences between two versions of a long text. Without I/O.
//!
//! The configuration is one record, whole in each version. Instances that know the previous version are sent what
//! changed.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Texts are compared by segments that end with this character, which ends each object of a JSON text. Being ASCII, it
/// is never part of a longer character.
const SEGMENT_END: char = '}';
/// Estimated size of a copied range in a message, in bytes.
const COPY_BYTES: usize = 16;
/// Maximum length of a patched text, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// How to make a text from its previous version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Digest of the resulting text.
    digest: u64,
    steps: Vec<Step>,
}

/// A part of the resulting text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Step {
    /// A range of the previous version: its start and length in bytes.
    Copy(usize, usize),
    /// New text.
    Insert(String),
}

impl Patch {
    /// Compares two versions of a text.
    pub fn new(old: &str, new: &str) -> Patch {
        let mut starts = HashMap::new();
        let mut start = 0;
        for segment in old.split_inclusive(SEGMENT_END) {
            starts.entry(segment).or_insert(start);
            start += segment.len();
        }
        let mut steps: Vec<Step> = Vec::new();
        for segment in new.split_inclusive(SEGMENT_END) {
            match steps.last_mut() {
                Some(Step::Copy(start, length)) if old[*start + *length..].starts_with(segment) => {
                    *length += segment.len();
                    continue;
                }
                Some(Step::Insert(text)) if !starts.contains_key(segment) => {
                    text.push_str(segment);
                    continue;
                }
                _ => {}
            }
            steps.push(match starts.get(segment) {
                Some(start) => Step::Copy(*start, segment.len()),
                None => Step::Insert(segment.into()),
            });
        }
        Patch { digest: xxh3_64(new.as_bytes()), steps }
    }

    /// Estimated size in a message, in bytes.
    pub fn byte_len(&self) -> usize {
        let lengths = self.steps.iter().map(|step| match step {
            Step::Copy(..) => COPY_BYTES,
            Step::Insert(text) => text.len(),
        });
        lengths.sum()
    }

    /// Makes the new version; `None` if `old` is not the version that the patch was made from.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut text = String::new();
        for step in &self.steps {
            text.push_str(match step {
                Step::Copy(start, length) => old.get(*start..start.checked_add(*length)?)?,
                Step::Insert(text) => text,
            });
            if text.len() > MAX_TEXT_BYTES {
                return None;
            }
        }
        (xxh3_64(text.as_bytes()) == self.digest).then_some(text)
    }
}
