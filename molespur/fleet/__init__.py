"""The fleet of schedulers: its membership (SWIM with Lifeguard) and the state that its members share.

The pure parts (`model`, `wire`, `swim` and the parts of `shared`) take events and return actions.  `gossip`
and `state` are the transport that carries these over UDP and TCP.  Nothing of this is imported where the
fleet is disabled.  In comments "we", "us" and "ours" mean the member that runs the code.
"""
