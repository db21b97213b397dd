"""Deliberate faults in source lines that the safety of the system depends on, and which tests catch them."""
