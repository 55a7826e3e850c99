"""Registry of backend servers, kept in memory and filled again by announcements."""
