"""Durable state of a node: a write-ahead log with snapshots, its records, and its file system layer."""
