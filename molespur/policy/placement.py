"""The design's choice among candidates: warm-prefix filter, tiers by headroom, weighted draw."""

from math import exp

DRAW_SCALE = 0.14  # a candidate whose forecast is this share longer than the best gets 1/e of its weight
WARM_MATCH = 0.8  # prefix match above which a worker counts as warm
EXPLORE, WARM_EXPLORE = 0.01, 0.02  # shares that try out the missing tier, and workers that are not warm


def prefer_warm(random, found, penalty, forecast_of, match_of):
    """Only the warm candidates, unless their best trails the best of all by more than the penalty (ms)."""
    warm = [f for f in found if match_of(f) > WARM_MATCH]
    claim = warm and min(map(forecast_of, warm)) <= min(map(forecast_of, found)) + penalty
    return warm if claim and random.random() >= WARM_EXPLORE else found


def select_tier(random, found, left, forecast_of, may_explore):
    """The candidates that meet the aim (ms left), else all; and whether any does."""
    tier = [f for f in found if forecast_of(f) <= left]
    meets, chosen = bool(tier), tier or found
    if len(chosen) < len(found) and may_explore and random.random() < EXPLORE:
        chosen = [f for f in found if forecast_of(f) > left]
    return chosen, meets


def draw_candidate(random, found, costs):
    """One candidate by weighted random: most headroom, which is least cost (ms), favoured."""
    top = min(costs)
    weights = [exp((top - cost) / (DRAW_SCALE * max(top, 1.0))) for cost in costs]
    return random.choices(found, weights)[0]
