"""Runs the command line as `python -m oleanderdrift`."""

from oleanderdrift import cli

if __name__ == '__main__':
    cli.main()
