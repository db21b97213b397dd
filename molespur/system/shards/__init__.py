"""How control state is sharded, and the replicas that a process hosts."""
