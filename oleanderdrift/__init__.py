"""A scheduler for agent programs: daemons and coordination parts."""

import typing

VERSION: typing.Final = '0.1.0'
