"""Messages and connections between the processes of marjoramstep."""
