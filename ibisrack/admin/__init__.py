"""Client of the admin ports of nodes, for ibisctl and the wall screen."""
