"""Forwards callers' requests to upstreams and decides what may run where.

The modules that decide (`routing`, `placement`, `allotments`, `budgets`,
`turns`, `freshness`) do no I/O; `forwarder`, `channel`, `ingress`,
`turn_log`, `budget_log`, `follow` and `gossip` do it.
"""
