"""Worker lists from key-value registries: pure records, view and session; then protocols and I/O."""
