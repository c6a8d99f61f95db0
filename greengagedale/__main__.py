"""Entry point of the command line; see `command_line` for the commands."""

import signal
import sys

from greengagedale import exceptions

EXIT_ERROR = 1


def main() -> None:
    """Runs the command line; known errors exit with a one-line message."""
    # SIGHUP reloads the settings, so it is ignored until a host has read them.
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
