"""Scheduler membership: heartbeats to monitors that are chosen on a consistent-hashing ring."""
