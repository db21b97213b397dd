"""RPC between the processes of the fleet: protobuf messages, framing, and channels that reconnect."""
