"""Structured logging: one line of key=value pairs for each event.

Callers must pass only names, ids and codes, never secrets: values are not
filtered here.
"""

import logging as standard_logging
import typing

from absl import flags
from absl import logging


class _Formatter(standard_logging.Formatter):
    """Prepends the time and the level to an event's key=value pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the log line, with any traceback on the lines after it."""
        stamp = self.formatTime(record, '%Y-%m-%dT%H:%M:%S')
        prefix = f'time={stamp}.{int(record.msecs):03d} '
        prefix += f'level={record.levelname.lower()} '
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            return f'{prefix}{record.getMessage()}\n{trace}'
        return prefix + record.getMessage()


def set_up(output: typing.TextIO | None = None) -> None:
    """Configures logging to output, or to standard error by default."""
    # absl logs a warning until its flags are parsed, but this command
    # line does not use absl's flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(_Formatter())
    if output is not None:
        handler.python_handler.stream = output
    # Tornado would log refused requests itself; http_base already logs
    # them with their result codes.
    for name in ('tornado.access', 'tornado.general'):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


def line(event: str, **values: object) -> str:
    """Returns the text of an event, with values quoted where needed."""
    pairs = [f'event={event}']
    pairs += [f'{key}={_text(value)}' for key, value in values.items()]
    return ' '.join(pairs)


def _text(value: object) -> str:
    text = f'{value:.6g}' if isinstance(value, float) else str(value)
    needs_no_quotes = text.isprintable() and not any(c in text for c in ' "=')
    return text if needs_no_quotes and text else repr(text)


def info(event: str, **values: typing.Any) -> None:
    """Logs an event of normal operation."""
    logging.info('%s', line(event, **values))


def warning(event: str, **values: typing.Any) -> None:
    """Logs an event that may need an operator's attention."""
    logging.warning('%s', line(event, **values))
