"""Who may connect: pure ledger, rates, identity and budget; off on the platform."""
