"""Settings of a process, and the configurations of the operator."""
