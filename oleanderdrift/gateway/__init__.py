"""Forwards callers' requests to upstreams and decides what may run where.

Modules that decide (`routing`, `placement`, `allotments`, `budgets`,
`turns`, `freshness`) are plain functions on plain data; `forwarder`,
`channel`, `ingress`, `program_log`, `follow` and `gossip` do the input
and output.
"""
