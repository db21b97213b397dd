"""Schedulers among themselves: the fleet view (SWIM with Lifeguard), then what they share.

Pure parts (`model`, `wire`, `swim`) take events and give actions; `gossip` is the one seam that carries
them over UDP and TCP.  Nothing of this is imported where the fleet is off.
"""
