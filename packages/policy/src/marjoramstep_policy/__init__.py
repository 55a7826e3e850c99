"""Pure decisions on the request path."""
