"""The decisions of one node: no I/O, no clock of its own, every random draw from one seeded generator.

`Balancer` takes the events of `balancer.interface` and returns its actions. Each other module has one
concern; `join_up_to_m` is the published mechanism, and `routing` orders the concerns for a request.
"""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
