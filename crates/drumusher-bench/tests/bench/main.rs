//! Tests of the policy benchmark: bounds on the metrics of the scheduling decisions in virtual time.

mod policy;
