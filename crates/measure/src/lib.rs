//! Measurements of crocushold against its own baselines.
