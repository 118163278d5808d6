//! Authentication by the fleet secret.

use drumusher_wire::auth::{Side, proof, verify};
use rstest::rstest;

const SECRET: &[u8] = b"a secret of sixteen";
const NONCE: &[u8] = b"0123456789abcdef";

#[test]
fn a_valid_proof_is_accepted() {
    let proof = proof(SECRET, Side::Connecting, NONCE, "suva-1");
    assert!(verify(SECRET, Side::Connecting, NONCE, "suva-1", &proof));
}

#[rstest]
#[case::other_secret(b"another secret here", Side::Connecting, NONCE, "suva-1")]
#[case::other_side(SECRET, Side::Accepting, NONCE, "suva-1")]
#[case::other_nonce(SECRET, Side::Connecting, b"fedcba9876543210", "suva-1")]
#[case::other_instance(SECRET, Side::Connecting, NONCE, "suva-2")]
fn an_invalid_proof_is_rejected(
    #[case] secret: &[u8],
    #[case] side: Side,
    #[case] nonce: &[u8],
    #[case] instance: &str,
) {
    let proof = proof(SECRET, Side::Connecting, NONCE, "suva-1");
    assert!(!verify(secret, side, nonce, instance, &proof));
}
