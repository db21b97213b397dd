"""Registrations of workers, and what they report."""
