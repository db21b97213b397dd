"""The real scheduler around the decisions: clients, records workers and discovery on sockets."""
