"""The adapter that runs balancers for the simulator over a binary protocol."""
