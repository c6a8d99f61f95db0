"""The command line; each command has its own module in `commands`."""

import signal
import sys

from greengagedale import exceptions

EXIT_ERROR = 1


def main() -> None:
    """Runs the command line; errors end it with one friendly message."""
    # Until a host has read its settings there is nothing to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = sys.argv[1:]
    try:
        if arguments[:1] == ["serve"]:
            from greengagedale.commands import serve

            serve.main(arguments[1:])
        else:
            from greengagedale import command_line

            command_line.app(prog_name="greengagedale")
    except exceptions.GreengagedaleError as error:
        print(f"Error: {error}", file=sys.stderr)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()
