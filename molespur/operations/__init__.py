"""The operators' address: pure calls and figures, and the listener that carries them."""
