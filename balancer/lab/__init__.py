"""The fleet lab: real nodes, stand-ins for all they meet, faults between them, and a judge."""
