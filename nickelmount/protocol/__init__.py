"""The forms in which settings come from outside, and their translation into the balancer's types."""
