"""What a control-plane process keeps on its disk."""
