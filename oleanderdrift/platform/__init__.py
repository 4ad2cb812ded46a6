"""The adapter to the users' platform: names, formats and calls.

It makes no decisions.  The platform's names are used nowhere else.
"""
