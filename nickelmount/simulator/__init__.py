"""The adapter that runs the balancer on the simulator's wire: ``python -m nickelmount.simulator``."""
