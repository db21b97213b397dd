"""Which schedulers are alive: heartbeats to monitors chosen on a ring."""
