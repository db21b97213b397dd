"""Sharding of the control plane's state, and the replicas that a process hosts."""
