"""Many schedulers under overload, with the real decision module: none may stay in a degraded state."""

import pytest

from molespur.standins.virtual_site import Site


def goodput(site, rate, ms):
    done = site.play(rate, ms, 2000.0)
    return sum(one.good for one in done) / (ms / 1000)


@pytest.mark.parametrize("hinted", [True, False])
@pytest.mark.parametrize("probing", [False, True])
def test_a_site_recovers_after_a_burst(hinted, probing):
    """Guards against load estimates that outlast a burst.  Without reports, the load by others was estimated
    from own sends as of their last change, and a scheduler that held jobs back sent none to change it."""
    site = Site(6, 6, hinted=hinted, may_probe=probing)
    assert goodput(site, 0.7 * site.capacity, 8000.0) > 0.95 * 0.7 * site.capacity
    assert goodput(site, 3.0 * site.capacity, 10_000.0) > 0.6 * site.capacity
    site.play(0.7 * site.capacity, 10_000.0)
    assert goodput(site, 0.7 * site.capacity, 8000.0) > 0.85 * 0.7 * site.capacity


class SiteWithoutQueueReports(Site):
    """Reports show free slots only, so that a full worker looks the same however many jobs wait there."""

    def report(self, name):
        w = self.workers[name]
        return {"free_slots": float(max(w.slots - w.busy, 0)), "util": w.busy / w.slots}


def test_many_schedulers_detect_a_burst_that_no_report_shows():
    """Guards against forecasts that are too short at all schedulers at once.  Each sees too few jobs at any
    worker to detect a queue there, so all jobs were accepted, and many ended late (0.64 in time)."""
    site = SiteWithoutQueueReports(40, 16, slots=4, queue=60, may_probe=True, tries=1)
    assert goodput(site, 0.6 * site.capacity, 6000.0) > 0.98 * 0.6 * site.capacity
    assert goodput(site, 1.2 * site.capacity, 9000.0) > 0.70 * 1.2 * site.capacity
    site.play(0.6 * site.capacity, 4000.0)
    assert goodput(site, 0.6 * site.capacity, 5000.0) > 0.95 * 0.6 * site.capacity
