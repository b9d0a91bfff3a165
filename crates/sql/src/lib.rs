//! Statement classification with a SQL parser and the rules of a service.
