"""Order of the requests that wait in a burst above a service's capacity."""

from __future__ import annotations

from radishmux.steer.waiting_room import Waiter, WaitingRoom


def waiter(priority=0, customer="c", deadline=10.0, **fields):
    return Waiter(0.0, priority, customer, deadline, 0.1, **fields)


def released(room, count):
    """Releases the waiters whose turn is next."""
    found = []
    for _ in range(count):
        first = room.order()[0]
        room.release(first)
        found.append(first)
    return found


def test_returned_request_is_before_newer_ones_of_its_class():
    """Guards against callers that are refused again and again."""
    room = WaitingRoom(2)
    newer = waiter(deadline=12.0)
    urgent = waiter(deadline=13.0)
    returned = waiter(deadline=11.0)
    for one in (newer, urgent):
        assert room.enter(one) is None
    # The one with the most time left makes room; it may return itself.
    assert room.enter(returned) is urgent
    assert released(room, 2) == [returned, newer]


def test_less_urgent_classes_keep_a_tenth():
    """Guards against the starvation of a class by a more urgent one."""
    room = WaitingRoom(1000)
    for number in range(100):
        room.enter(waiter(0, deadline=10.0 + number))
        room.enter(waiter(3, deadline=10.0 + number))
    classes = [one.priority for one in released(room, 100)]
    assert 8 <= classes.count(3) <= 10
    assert classes[:10] == [0] * 10


def test_customers_of_a_class_take_turns():
    """Guards against a customer whose many requests leave others nothing."""
    room = WaitingRoom(1000)
    for number in range(50):
        room.enter(waiter(customer="many", deadline=10.0 + number / 100))
    for number in range(5):
        room.enter(waiter(customer="few", deadline=11.0 + number))
    customers = [one.customer for one in released(room, 10)]
    assert customers.count("few") == 5


def test_customers_take_turns_although_new_requests_keep_arriving():
    """Guards against turns that count only requests waiting at one time."""
    room = WaitingRoom(1000)
    counts = {"many": 0, "few": 0}
    room.enter(waiter(customer="few", deadline=20.0))
    for number in range(20):
        room.enter(waiter(customer="many", deadline=10.0 + number / 100))
        room.enter(waiter(customer="many", deadline=10.0 + number / 100))
        (first,) = released(room, 1)
        counts[first.customer] += 1
        if first.customer == "few":
            room.enter(waiter(customer="few", deadline=20.0))
    assert counts == {"many": 10, "few": 10}


def test_waiter_leaves_when_it_cannot_be_served_in_time():
    """Guards against holding requests until their deadline."""
    room = WaitingRoom(10)
    one = waiter(deadline=1.0)
    other = waiter(deadline=9.0, leave_at=0.5)
    room.enter(one)
    room.enter(other)
    assert room.expired(0.6) == [other]
    assert set(room.expired(0.9)) == {one, other}
    assert [one.waited(0.0), one.waited(0.45), one.waited(5.0)] == [0, 0.5, 1]
