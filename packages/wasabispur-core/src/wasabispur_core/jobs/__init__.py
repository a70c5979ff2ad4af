"""Schedule gangs of accelerators under guarantees, for the product's own job calls."""
