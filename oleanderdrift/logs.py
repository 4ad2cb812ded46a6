"""Log lines: one line of key=value pairs for each event.

Values that look like secrets never get here: callers pass names, ids and
codes alone.
"""

import logging as standard_logging
import typing

from absl import flags
from absl import logging


class _Formatter(standard_logging.Formatter):
    """Puts the time and the level before the pairs of an event."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns one line; a traceback follows on lines of its own."""
        stamp = self.formatTime(record, '%Y-%m-%dT%H:%M:%S')
        head = f'time={stamp}.{int(record.msecs):03d} '
        head += f'level={record.levelname.lower()} '
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            return f'{head}{record.getMessage()}\n{trace}'
        return head + record.getMessage()


def set_up(output: typing.TextIO | None = None) -> None:
    """Sends events to output from now on, one line each.

    Without an output they go to standard error.
    """
    # absl writes a warning of its own until its flags are parsed; the
    # command line here is not absl's.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(_Formatter())
    if output is not None:
        handler.python_handler.stream = output
    # Tornado logs refused requests of its own; codes tell them here.
    for name in ('tornado.access', 'tornado.general'):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


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
