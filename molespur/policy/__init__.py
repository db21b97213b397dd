"""Finish-time model, choice among candidates, tracking of workers and choice of a worker pair.  No I/O."""
