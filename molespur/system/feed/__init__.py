"""The feed of snapshots and changes from the control plane to the data plane."""
