"""Gateway: routes requests by host and path to discovered endpoints, and streams the responses."""
