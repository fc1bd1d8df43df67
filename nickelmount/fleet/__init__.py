"""A small fleet on loopback to measure the agent on: a tool, which the agent never imports."""
