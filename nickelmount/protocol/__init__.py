"""The formats of data that the agent reads, such as settings and endpoint lists, and their parsers."""
