"""The control-plane role of the router fleet."""
