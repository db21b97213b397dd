"""The data-plane role: serves clients' requests through the workers."""
