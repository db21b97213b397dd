"""The router fleet: a control plane and a data plane for workers that split prefill from decode."""
