//! Placeholder of crocushold-standins.
