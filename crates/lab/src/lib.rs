//! Experiment tools: deployments, network relay, load, history checker and scenarios.
