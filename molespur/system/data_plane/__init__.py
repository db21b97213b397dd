"""The data-plane role."""
