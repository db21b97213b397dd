"""Deliberate breaks of the lines that the safety of control rests on, and which tests catch them."""
