"""Models of backends, clients, discovery and the network around the nodes, without I/O."""
