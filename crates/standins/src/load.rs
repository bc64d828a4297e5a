//! Load generator.
