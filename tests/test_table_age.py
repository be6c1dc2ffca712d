"""As of when a table is known, whatever words come late or not at all."""

from hypothesis import example, given, strategies as st

from rosepath.clock import ManualClock
from rosepath.departure_log import MAX_REPORTED, DepartureLog
from rosepath.fleet import LeavingServer
from rosepath.table_age import TableAge


def test_a_word_counts_only_where_it_reaches_back_to_what_is_known() -> None:
    # The holder tells what left in the last five seconds. Who knows the servers
    # as of seven seconds ago would miss what left in between.
    clock = ManualClock()
    age = TableAge(clock=clock, boot_clock=clock)
    age.note_look(clock.now_s)
    clock.advance(7.0)
    age.hear(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s == 7.0
    age.note_look(clock.now_s - 4.0)
    age.hear(known_ago_s=0.1, complete_ago_s=5.0)
    assert round(age.age_s, 3) == 0.1


def test_a_table_grows_old_while_its_machine_sleeps() -> None:
    # The steady clock stands still in a sleep. After three seconds of it a VM
    # took its table for as new as before, and words that had queued meanwhile
    # for words just spoken.
    clock, boot = ManualClock(), ManualClock()
    age = TableAge(clock=clock, boot_clock=boot)
    age.note_look(boot.now_s)
    boot.advance(3.0)
    assert age.age_s == 3.0
    age.hear(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s > 1000.0
    age.note_look(boot.now_s)
    age.hear(known_ago_s=0.1, complete_ago_s=5.0)
    assert age.age_s == 0.0


Happening = tuple[float, str]


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.sampled_from(["leave", "leave", "look", "word", "lost", "many"]),
        ),
        max_size=60,
    )
)
# So many leave in the instant of a look that some are not told.
@example([(0.0, "look"), (0.0, "many"), (1.0, "word")])
def test_what_is_known_by_words_and_looks_misses_no_leave(
    happenings: list[Happening],
) -> None:
    # A holder sees all that leave and tells; another VM hears some words and
    # looks now and then. Whatever left before the moment as of which it takes
    # itself to know the servers, it knows.
    clock = ManualClock()
    log = DepartureLog(clock=clock)
    age = TableAge(clock=clock, boot_clock=clock)
    left_s: dict[str, float] = {}
    known: set[str] = set()
    for pause_s, what in happenings:
        clock.advance(pause_s)
        if what in ("leave", "many"):
            for _ in range(1 if what == "leave" else MAX_REPORTED + 3):
                name = f"i-{len(left_s)}"
                left_s[name] = clock.now_s
                log.note(LeavingServer(name, 1))
        elif what == "look":
            known = set(left_s)
            age.note_look(clock.now_s)
        elif what == "word":
            leaving, complete_ago_s = log.told()
            known |= {server.name for server in leaving}
            age.hear(known_ago_s=0.0, complete_ago_s=complete_ago_s)
        as_of_s = clock.now_s - age.age_s
        missed = {name for name, at_s in left_s.items() if at_s < as_of_s} - known
        assert not missed
