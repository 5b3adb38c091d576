"""Start the stand-ins, the demonstration and the measurements."""
