"""What a backend server says of itself in an answer, whatever it answers."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """Tell that a server leaves, or for how long it wants no request from here."""

    leaving: bool = False
    rest_s: float = 0.0


NO_NOTICE = ServerNotice()
