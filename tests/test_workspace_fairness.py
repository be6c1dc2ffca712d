"""Tests of the recent use of workspaces that compete."""

from queue_builders import a_request, an_assignment

from rosepath.workspace_fairness import (
    PLAIN_REQUEST_TOKENS,
    USE_LASTS_S,
    WorkspaceUse,
    use_tokens,
)


def a_use(**tokens: float) -> WorkspaceUse:
    use = WorkspaceUse()
    for workspace, used in tokens.items():
        use.note_served(workspace, used, now_s=0.0)
    return use


def test_a_workspace_far_above_the_others_is_beyond_its_share() -> None:
    """Guards against a hot workspace that counts as one among equals."""
    use = a_use(hot=140_000.0, a=20_000.0, b=20_000.0)
    assert use.beyond_share("hot")
    assert not use.beyond_share("a")


def test_moderate_differences_are_no_excess() -> None:
    """Guards against reordering urgent requests for small differences in use."""
    use = a_use(more=30_000.0, a=20_000.0, b=15_000.0)
    assert not use.beyond_share("more")


def test_a_few_prompts_are_no_excess() -> None:
    """Guards against a workspace put back for one long prompt."""
    assert not a_use(one=8_000.0, a=500.0).beyond_share("one")


def test_a_workspace_alone_is_never_beyond_its_share() -> None:
    """Guards against an order by workspace where nobody competes."""
    assert not a_use(alone=1e6).beyond_share("alone")


def test_requests_without_a_workspace_are_not_counted() -> None:
    """Guards against taking all callers without a key for one workspace."""
    use = a_use(a=10_000.0)
    use.note_served("", 1e6, now_s=0.0)
    assert not use.beyond_share("")
    assert not use.beyond_share("a")


def test_a_waiting_workspace_that_was_not_served_counts_among_the_others() -> None:
    """Guards against a hot workspace that is taken for the only one."""
    use = a_use(hot=50_000.0)
    use.note_waiting("starved", step=1)
    assert use.beyond_share("hot")


def test_a_burst_is_forgiven() -> None:
    """Guards against a workspace that gives way long after its burst."""
    use = a_use(burst=200_000.0, a=20_000.0)
    for second in range(1, int(6 * USE_LASTS_S)):
        use.note_served("a", 4_000.0, now_s=float(second))
        use.note_served("burst", 4_000.0, now_s=float(second))
    assert not use.beyond_share("burst")


def test_an_idle_workspace_saves_up_no_credit() -> None:
    """Guards against a workspace that returns from idle and takes all room."""
    use = WorkspaceUse()
    for second in range(60):
        use.note_served("steady", 5_000.0, now_s=float(second))
    for request in range(40):
        use.note_served("returned", 5_000.0, now_s=60.0 + request / 100)
    assert use.beyond_share("returned")


def test_workspaces_without_use_are_forgotten() -> None:
    """Guards against memory that grows with the workspaces ever seen."""
    use = WorkspaceUse()
    for number in range(1_000):
        use.note_waiting(f"w{number}", step=1)
        use.note_waiting(f"w{number}", step=-1)
        use.note_served(f"w{number}", 100.0, now_s=float(number))
    assert len(use._tokens) < 100
    assert not use.waiting


def test_use_counts_what_is_read_and_written() -> None:
    """Guards against long answers and plain requests that count nothing."""
    assert use_tokens(an_assignment(a_request(tokens=500))) > 500
    assert use_tokens(an_assignment(a_request(tokens=0))) == PLAIN_REQUEST_TOKENS
