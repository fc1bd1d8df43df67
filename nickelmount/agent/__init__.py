"""The agent on real sockets, around the decisions of nickelmount.balancer."""
