"""A soak:

real processes of both roles under long, overlapping trouble, and a checker of all that was said.
"""
