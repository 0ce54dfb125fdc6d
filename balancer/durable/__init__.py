"""Durable state of a node: write-ahead log with snapshots, record types and file system layer."""
