//! Digests of parts of prompts.

use drumusher::routed::digest::{of_part, shared_parts};
use drumusher_schedule::ask::Part;

#[test]
fn no_workspace_shares_the_digest_of_a_part_with_another() {
    let digest = of_part("secret", "a", 7);
    assert_eq!(digest, of_part("secret", "a", 7));
    assert_ne!(digest, of_part("secret", "b", 7));
    assert_ne!(digest, of_part("secret", "a", 8));
    assert_ne!(digest, of_part("another", "a", 7));
}

#[test]
fn the_last_part_of_a_prompt_is_its_own() {
    let parts = [1, 2, 3].map(|id| Part { id, tokens: 1 });
    assert_eq!(shared_parts(&parts), &parts[..2]);
    assert!(shared_parts(&parts[..1]).is_empty());
    assert!(shared_parts(&[]).is_empty());
}
