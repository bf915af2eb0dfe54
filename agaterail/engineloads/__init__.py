"""Load and pace of the engines, gathered from all daemons of the fleet."""
