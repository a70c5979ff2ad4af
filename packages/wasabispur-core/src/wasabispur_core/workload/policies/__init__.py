"""Define what operators configure: queues, organisations and cordons."""
