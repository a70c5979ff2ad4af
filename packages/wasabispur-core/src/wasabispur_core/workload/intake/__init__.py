"""Accept callers' jobs and answer what became of them."""
