"""Check that this tree and an earlier revision have equal wire output, datagrams and stored files."""
