//! Placeholder of crocushold-http.
