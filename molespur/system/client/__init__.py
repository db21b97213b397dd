"""What an operator asks of a running fleet from a terminal."""
