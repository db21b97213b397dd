"""Messages between the processes of the fleet: protobuf, framing, and links that reconnect."""
