"""Commands of the test bed: emulators, demonstration, soak runs and measurements."""
