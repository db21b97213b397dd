"""The control-plane role."""
