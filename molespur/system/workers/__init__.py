"""Worker registrations, heartbeats and serving phases."""
