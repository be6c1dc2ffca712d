"""What the scripts of the cases share: entry VMs, a store, servers, callers."""
