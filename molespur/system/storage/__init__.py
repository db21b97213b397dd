"""The persistent state of a control-plane process."""
