//! Placeholder of crocushold-peers.
