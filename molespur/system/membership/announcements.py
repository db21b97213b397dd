"""When a control-plane process sends its periodic messages.  No I/O; times are milliseconds."""

from enum import Enum


class Announcement(Enum):
    """A periodic message and its interval (ms)."""

    MONITOR_REPORT = 300.0  # the schedulers known here, to the other monitors
    FEED_HEARTBEAT = 400.0  # to the schedulers that follow the feed here


class AnnouncementSchedule:
    """Due times of the periodic messages.  A new scheduler makes them due at once."""

    def __init__(self):
        self._due_at = dict.fromkeys(Announcement, 0.0)

    def take_due(self, now: float) -> list[Announcement]:
        """Return the announcements that are due, and schedule each again after its interval."""
        due = [announcement for announcement, at in self._due_at.items() if now >= at]
        for announcement in due:
            self._set_due(announcement, now + announcement.value)
        return due

    def scheduler_joined(self) -> None:
        """A new scheduler has sent a heartbeat here: notify the other monitors and the followers."""
        self._set_due(Announcement.MONITOR_REPORT, 0.0)
        self._set_due(Announcement.FEED_HEARTBEAT, 0.0)

    def scheduler_reported(self) -> None:
        """Another monitor has reported a new scheduler: notify the followers of this process."""
        self._set_due(Announcement.FEED_HEARTBEAT, 0.0)

    def _set_due(self, announcement: Announcement, at: float) -> None:
        """Change a due time; nothing else does."""
        self._due_at[announcement] = at
