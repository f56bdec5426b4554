"""A platform whose entries are restarted under load, and its judges."""
