"""The decisions of a gateway: admit, forward, retry, give up, reject. No I/O, no clock, no other package.

Modules in reading order:

- `interface` (settings, messages, events, actions, protocols), `time_units`;
- `backend_state`, `slow_start`: one backend as this gateway knows it;
- `ceiling`, `quota`, `customers`: the token buckets of each customer;
- `pending_request`, `peer_liveness`, `gossip`, `admission`, `gossip_receiver`: admission by quota over the
  gateways of a customer's set;
- `idempotency`, `load_balancing`: the choice of a backend;
- `client_timeouts`, `retry_policy`, `attempts`: the attempts of a request;
- `overload_control`, `giving_up`, `waiting_queue`: the requests that wait;
- `gateway`: the order of steps.

Why a request was given up: the reason as counted in `Gateway.ended`, and the rule behind it.

========  =================================================  ====================  ==========================
reason    the request                                        rule                  to look at
========  =================================================  ====================  ==========================
quota     is beyond its customer's quota, by draw, and       `admission`, `quota`  `Customers.quota_statuses`
          worth no more than its cost, or overload control
          is engaged; or its plan's `max_in_flight` is       `quota`               `CustomerAccount.in_flight`
          reached at this gateway (no draw)
ceiling   waited for its customer's ceiling                  `ceiling`, or the     `Customers.customer_limits`
                                                             `LimitPolicy`
cap       waited for overload control: N first attempts per  `overload_control`    `OverloadControl.n_past`
          period, or the bound of attempts in flight
server    waited for a usable backend                        `load_balancing`      `LoadBalancer.ready`
late      came too late for its latency objective or its     `giving_up`           `Attempts.mean_latency_us`
          deadline (in a shutdown the deadline is cut), or
          waited for a retry until then
attempts  had its last attempt end without success: its      `retry_policy`,       `RetryPolicy.tokens`
          attempts, its time or the retry budget are used    `idempotency`
          up, no backend may execute it again, or no socket                        `Backends.may_open`
          was free for it (`NOT_SENT`)
========  =================================================  ====================  ==========================

`Gateway.ended` counts both final answers: the client is told that a retry is harmless (`Reject`) where
`idempotency.may_reject` says so, else that the request failed (`FailRequest`). A request of which nothing was
sent is given up at half of its client's wait (`PendingRequest.reject_by_us`).
"""
