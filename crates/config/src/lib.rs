//! Placeholder of crocushold-config.
