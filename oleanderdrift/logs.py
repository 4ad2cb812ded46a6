"""Log lines: one line of key=value pairs for each event.

Values that look like secrets never get here: callers pass names, ids and
codes alone.
"""

import typing

from absl import logging


def line(event: str, **values: object) -> str:
    """Returns the line of an event, its values quoted where needed."""
    pairs = [f'event={event}']
    pairs += [f'{key}={_text(value)}' for key, value in values.items()]
    return ' '.join(pairs)


def _text(value: object) -> str:
    text = f'{value:.6g}' if isinstance(value, float) else str(value)
    plain = text.isprintable() and not any(c in text for c in ' "=')
    return text if plain and text else repr(text)


def info(event: str, **values: typing.Any) -> None:
    """Logs an event of ordinary work."""
    logging.info('%s', line(event, **values))


def warning(event: str, **values: typing.Any) -> None:
    """Logs an event that an operator may need to know of."""
    logging.warning('%s', line(event, **values))
