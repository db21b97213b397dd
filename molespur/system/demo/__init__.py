"""A small fleet on this machine: real roles, stand-in model workers, traffic, and two losses."""
