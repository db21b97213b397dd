"""One replica group: the Raft consensus algorithm without I/O."""
