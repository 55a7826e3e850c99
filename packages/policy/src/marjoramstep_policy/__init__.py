"""Request-path policies: admission, routing, retries and quarantine, without I/O."""
