"""Pipelined requests of one connection: which may start before the earlier ones are answered."""
