"""Tests of the age of a table when messages are late or lost."""

from hypothesis import example, given, strategies as st

from rosepath.clock import ManualClock
from rosepath.departure_log import MAX_REPORTED, DepartureLog
from rosepath.fleet import LeavingServer
from rosepath.table_age import TableAge


def test_a_message_counts_only_if_it_covers_all_since_the_known_time() -> None:
    # The lease holder sends the departures of the last five seconds. A VM that
    # knows the servers as of seven seconds ago would miss those in between.
    clock = ManualClock()
    age = TableAge(clock=clock, boot_clock=clock)
    age.note_store_read(clock.now_s)
    clock.advance(7.0)
    age.note_peer_age(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s == 7.0
    age.note_store_read(clock.now_s - 4.0)
    age.note_peer_age(known_ago_s=0.1, complete_ago_s=5.0)
    assert round(age.age_s, 3) == 0.1


def test_a_table_ages_while_its_machine_is_suspended() -> None:
    # The monotonic clock stops during a suspension. After three seconds of it,
    # a VM considered its table as recent as before, and queued messages as
    # just sent.
    clock, boot = ManualClock(), ManualClock()
    age = TableAge(clock=clock, boot_clock=boot)
    age.note_store_read(boot.now_s)
    boot.advance(3.0)
    assert age.age_s == 3.0
    age.note_peer_age(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s > 1000.0
    age.note_store_read(boot.now_s)
    age.note_peer_age(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s == 0.0


Event = tuple[float, str]


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.sampled_from(["leave", "leave", "look", "word", "lost", "many"]),
        ),
        max_size=60,
    )
)
# More servers leave at the time of a read than one message holds.
@example([(0.0, "look"), (0.0, "many"), (1.0, "word")])
def test_no_departure_before_the_known_time_is_missed(
    events: list[Event],
) -> None:
    # The lease holder records all departures and sends them. Another VM
    # receives some messages and reads the store at times. It must know every
    # departure before the time up to which it considers its table complete.
    clock = ManualClock()
    log = DepartureLog(clock=clock)
    age = TableAge(clock=clock, boot_clock=clock)
    left_s: dict[str, float] = {}
    known: set[str] = set()
    for pause_s, what in events:
        clock.advance(pause_s)
        if what in ("leave", "many"):
            for _ in range(1 if what == "leave" else MAX_REPORTED + 3):
                name = f"i-{len(left_s)}"
                left_s[name] = clock.now_s
                log.record(LeavingServer(name, 1))
        elif what == "look":
            known = set(left_s)
            age.note_store_read(clock.now_s)
        elif what == "word":
            leaving, complete_ago_s = log.recent()
            known |= {server.name for server in leaving}
            age.note_peer_age(known_ago_s=0.0, complete_ago_s=complete_ago_s)
        as_of_s = clock.now_s - age.age_s
        missed = {name for name, at_s in left_s.items() if at_s < as_of_s} - known
        assert not missed
