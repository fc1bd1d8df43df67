"""nickelmount: a client-side load-balancing agent, whose decisions are also available as a library."""
