//! Placeholder of crocushold-admission.
