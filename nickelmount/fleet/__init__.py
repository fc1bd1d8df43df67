"""A tool that measures agents in a small emulated fleet on loopback. The agent never imports it."""
