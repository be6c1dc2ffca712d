"""What a backend server says of itself in an answer, whatever it answers."""

from typing import NamedTuple


class ServerNotice(NamedTuple):
    """Tell that a server leaves, or after how long to send it a request again."""

    leaving: bool = False
    retry_after_s: float = 0.0


NO_NOTICE = ServerNotice()
