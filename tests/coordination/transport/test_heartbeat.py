"""Failure detection on a connection by counted heartbeats."""

from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor


def test_a_silent_peer_is_detected_only_while_messages_are_unacknowledged() -> None:
    monitor = HeartbeatMonitor(4, 50, 60)
    assert all(monitor.check(0, 0) is ConnectionHealth.ALIVE for _ in range(20))
    monitor.on_sent()
    monitor.on_bytes()
    assert [monitor.check(0, 0) for _ in range(5)] == [ConnectionHealth.ALIVE] * 4 + [ConnectionHealth.SILENT]
    monitor = HeartbeatMonitor(4, 50, 60)
    monitor.on_sent()
    monitor.on_acknowledgement(1)
    assert all(monitor.check(0, 0) is ConnectionHealth.ALIVE for _ in range(20))


def test_a_peer_that_sends_and_never_reads_is_stalled_but_a_slow_reader_is_not() -> None:
    def checks(drained_per_heartbeat: int, is_acknowledged: bool) -> list[ConnectionHealth]:
        monitor, results = HeartbeatMonitor(4, 5, 60), []
        for number in range(20):
            monitor.on_sent()
            monitor.on_bytes()
            if is_acknowledged:
                monitor.on_acknowledgement(number)
            results.append(monitor.check(number * drained_per_heartbeat, 1000))
        return results

    assert checks(0, False)[:5] == [ConnectionHealth.ALIVE] * 4 + [ConnectionHealth.STALLED]
    assert checks(1, False) == checks(0, True) == [ConnectionHealth.ALIVE] * 20


def test_a_connection_without_messages_in_either_direction_becomes_idle() -> None:
    monitor = HeartbeatMonitor(4, 5, 3)
    for exchange in (monitor.on_received, lambda: (monitor.on_sent(), monitor.on_acknowledgement(1))):
        exchange()
        assert [monitor.check(0, 0) for _ in range(4)] == [ConnectionHealth.ALIVE] * 3 + [
            ConnectionHealth.IDLE
        ]


def test_an_acknowledgement_of_unsent_messages_is_rejected() -> None:
    monitor = HeartbeatMonitor(4, 5, 60)
    monitor.on_sent()
    for total in (2, -1):
        try:
            monitor.on_acknowledgement(total)
        except ValueError:
            continue
        raise AssertionError(total)
