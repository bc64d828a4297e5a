//! Integration tests, one binary of modules.
