"""Run the proxy of one entry VM from a source checkout."""

import signal

# SIGHUP ends a process that has no handler; settings that change before the proxy has
# one are found by its first look at their file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == "__main__":
    from rosemaryridge.cli.entry import main

    main()
