"""Plan which waiting units run on which workers."""
