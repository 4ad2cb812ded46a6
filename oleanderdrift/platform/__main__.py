"""Runs a gateway instance without loading the rest of the command line.

This makes restarts faster and uses less memory.
"""

import sys

from oleanderdrift import errors
from oleanderdrift.platform import run

if __name__ == '__main__':
    try:
        run.run()
    except errors.ResultError as error:
        sys.exit(f'E{error.code.number}: {error.detail}')
