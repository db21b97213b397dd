"""Snapshot and change feed from the control plane to the data plane."""
