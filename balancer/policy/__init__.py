"""The balancing policy of one node: no I/O, no clock, and all random numbers from one seeded generator.

`Balancer` takes the events of `balancer.interface` and returns its actions. Each other module is one
component of the policy: `join_up_to_m` implements the published algorithm that chooses an endpoint, and
`routing` takes a request through the components.
"""

from balancer.policy.balancer import Balancer

__all__ = ["Balancer"]
