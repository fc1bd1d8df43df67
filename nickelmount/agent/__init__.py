"""The agent, which connects the decisions of nickelmount.balancer to real sockets."""
