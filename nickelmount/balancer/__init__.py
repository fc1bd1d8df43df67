"""The decision logic of a client-side load balancer, as a library without I/O."""
