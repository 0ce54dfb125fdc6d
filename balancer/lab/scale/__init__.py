"""Scale measurements: the cost of each role at growing sizes, extrapolated to the planned size."""
