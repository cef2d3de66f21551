"""The decisions of a gateway on each request: admit, forward, retry, give up, reject.

The package does no I/O, reads no clock and imports no other package of the program.

Modules in reading order:

- `interface` (settings, messages, events, actions, protocols), `time_units`;
- `backend_state`, `slow_start`: the state of one backend;
- `ceiling`, `quota`, `customers`: the token buckets of each customer;
- `pending_request`, `peer_liveness`, `gossip`, `admission`, `gossip_receiver`: admission by quota over the
  gateways of a customer's set;
- `idempotency`, `load_balancing`: the choice of a backend;
- `client_timeouts`, `retry_policy`, `attempts`: the attempts of a request;
- `overload_control`, `giving_up`, `waiting_queue`: requests that wait to be forwarded;
- `gateway`: the handling of events.

Reasons for which a request is given up, as counted in `Gateway.ended`:

========  =================================================  ====================  ==========================
reason    the request                                        rule                  related state
========  =================================================  ====================  ==========================
quota     was drawn to be beyond its customer's quota, and   `admission`, `quota`  `Customers.quota_statuses`
          its value does not exceed its cost or overload
          control is engaged; or its plan's `max_in_flight`  `quota`               `CustomerAccount.in_flight`
          is reached at this gateway (no draw)
ceiling   waited for its customer's ceiling                  `ceiling`, or the     `Customers.customer_limits`
                                                             `LimitPolicy`
cap       waited for overload control: N first attempts per  `overload_control`    `OverloadControl.n_past`
          period, or the limit of attempts in flight
server    waited for a usable backend                        `load_balancing`      `LoadBalancer.ready`
late      came too late for its latency objective or its     `giving_up`           `Attempts.mean_latency_us`
          deadline (which a shutdown shortens), or waited
          for a retry until then
attempts  failed and may not be retried: its attempts, its   `retry_policy`,       `RetryPolicy.tokens`
          time or the retry budget are used up, no backend   `idempotency`
          may execute it again, or no socket was free for                          `Backends.may_open`
          it (`NOT_SENT`)
========  =================================================  ====================  ==========================

`Gateway.ended` counts both kinds of final answers: `Reject`, which tells the client that a retry is safe, if
`idempotency.may_reject` allows it, and otherwise `FailRequest`. A request of which nothing was sent is given
up when half of the client's timeout is over (`PendingRequest.reject_by_us`).
"""
