//! Placeholder of crocushold-metrics.
