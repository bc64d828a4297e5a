//! Placeholder of crocushold-entry.
