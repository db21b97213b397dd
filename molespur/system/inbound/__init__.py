"""What arrives from callers: connections, HTTP/1.1, bodies, and the memory that they may take."""
