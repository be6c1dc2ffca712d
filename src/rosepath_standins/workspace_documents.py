"""Build configurations with workspaces, as operators write them."""

import json

from rosepath.object_store import StoredObject

KEYS_PER_WORKSPACE = 10


def configuration_with_keys(keys: int) -> StoredObject:
    """Return a configuration whose workspaces hold this many keys in all."""
    names = [f"key-{number:08d}" for number in range(keys)]
    workspaces = [
        {
            "name": f"w-{number}",
            "apiKeys": names[number : number + KEYS_PER_WORKSPACE],
            "ratePerS": 1000,
            "burst": 1000,
        }
        for number in range(0, keys, KEYS_PER_WORKSPACE)
    ]
    raw = {"version": 1, "routes": [], "services": [], "tenants": workspaces}
    return StoredObject("config/main", 1, json.dumps(raw).encode())
