"""A scheduler for agent programs, run as cooperating instances."""

import typing

VERSION: typing.Final = '0.1.0'
