"""Works out the cost of each role at the target size from measured figures."""
