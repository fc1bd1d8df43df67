"""nickelmount: a client-side load balancing agent, and its decisions as a library."""
