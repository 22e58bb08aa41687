"""Translates the protocols, names and settings of the outside platform into those of ibisrack."""
