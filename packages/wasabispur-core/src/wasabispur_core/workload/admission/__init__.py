"""Accept or reject new jobs by the load of the fleet."""
