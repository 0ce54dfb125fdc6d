"""The harness of scale: what each role costs at growing sizes, and its slope to the size of two years."""
