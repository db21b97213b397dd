"""When a control-plane process tells which schedulers it knows, and whom.  Pure; times are milliseconds."""

from enum import Enum


class Announcement(Enum):
    """What is sent again and again, and its interval (ms)."""

    MONITOR_REPORT = 300.0  # to the other monitors
    FEED_HEARTBEAT = 400.0  # to the schedulers that follow the feed here


class AnnouncementSchedule:
    """Both announcements go out at their intervals, and at the next look once there is a new scheduler."""

    def __init__(self):
        self._due_at = dict.fromkeys(Announcement, 0.0)

    def take_due(self, now: float) -> list[Announcement]:
        """The announcements that are due now; each is due again after its interval."""
        due = [announcement for announcement, at in self._due_at.items() if now >= at]
        for announcement in due:
            self._set_due(announcement, now + announcement.value)
        return due

    def scheduler_joined(self) -> None:
        """A scheduler that was not known has sent a heartbeat here: all are to know it."""
        self._set_due(Announcement.MONITOR_REPORT, 0.0)
        self._set_due(Announcement.FEED_HEARTBEAT, 0.0)

    def scheduler_reported(self) -> None:
        """Another monitor has told of one that was not known: the own followers are to know it."""
        self._set_due(Announcement.FEED_HEARTBEAT, 0.0)

    def _set_due(self, announcement: Announcement, at: float) -> None:
        """The one place where a due time changes."""
        self._due_at[announcement] = at
