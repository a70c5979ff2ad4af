"""Run entry instances and the operators' command line."""
