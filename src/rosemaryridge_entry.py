"""Run the proxy of one entry VM from a source checkout."""

from rosemaryridge.cli.entry import main

if __name__ == "__main__":
    main()
