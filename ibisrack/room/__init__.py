"""Control room: the status of the whole fleet, from node reports to the screens of operators."""
