//! Placeholder of crocushold-routing.
