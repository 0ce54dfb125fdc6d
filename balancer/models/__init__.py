"""Models of what surrounds the nodes: backends, clients, discovery and the network, without I/O."""
