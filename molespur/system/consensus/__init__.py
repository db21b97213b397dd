"""The Raft consensus algorithm of one replica group, without I/O."""
