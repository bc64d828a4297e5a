//! Placeholder of crocushold-platform.
