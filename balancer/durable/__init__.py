"""What outlives a crash of a node: record log and snapshots, what is kept in them, the file layer below."""
