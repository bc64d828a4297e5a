//! The `crocushold` program.

fn main() {}
