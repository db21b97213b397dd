"""The decisions, split by concern."""
