"""Compare variants of the system on the same days and seeds of the bench."""
