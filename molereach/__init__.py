"""molereach: a load balancer for RESP clients that keeps customers' quotas."""

__version__ = "0.4.0"
