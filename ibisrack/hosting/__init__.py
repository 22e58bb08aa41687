"""Hosting: runs requests on the instance beside the node and keeps their recent results."""
