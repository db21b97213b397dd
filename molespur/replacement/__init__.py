"""One process replaced by another beside it: what two processes tell each other, and what follows from it."""
