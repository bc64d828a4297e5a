//! Placeholder of crocushold-ownership.
