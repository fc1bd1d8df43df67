"""Parsers for settings, endpoint lists, load reports and addresses, and the names that HTTP messages use."""
