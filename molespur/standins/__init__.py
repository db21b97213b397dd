"""Scripted stand-ins of outside systems, for tests, demonstrations and measurements; `serve` has none."""
