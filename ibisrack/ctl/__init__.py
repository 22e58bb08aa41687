"""The commands of ibisctl, one module for each duty."""
