"""A scale run of the fleet's control on one machine: real processes, and hollow ones that share a process."""
