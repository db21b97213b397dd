"""The choice among candidates: a filter for warm prefixes, tiers by the aim, a weighted draw."""

from math import exp

DRAW_SCALE = 0.14  # a candidate whose forecast is this share longer than the best gets 1/e of its weight
WARM_MATCH = 0.8  # prefix match above which a worker counts as warm
EXPLORE_MISSING, EXPLORE_NOT_WARM = 0.01, 0.02  # shares of choices: from the missing tier, beyond warm ones


def prefer_warm(random, candidates, penalty_ms, forecast_of, match_of):
    """Keep only the warm candidates, unless their best trails the best of all by more than the penalty."""
    warm = [c for c in candidates if match_of(c) > WARM_MATCH]
    usable = warm and min(map(forecast_of, warm)) <= min(map(forecast_of, candidates)) + penalty_ms
    return warm if usable and random.random() >= EXPLORE_NOT_WARM else candidates


def select_tier(random, candidates, left_ms, forecast_of, may_explore):
    """The candidates that meet the aim within the time left, else all; and whether any meets it."""
    tier = [c for c in candidates if forecast_of(c) <= left_ms]
    meets, chosen = bool(tier), tier or candidates
    if len(chosen) < len(candidates) and may_explore and random.random() < EXPLORE_MISSING:
        chosen = [c for c in candidates if forecast_of(c) > left_ms]
    return chosen, meets


def draw_candidate(random, candidates, costs_ms):
    """Draw one candidate at random, weighted towards headroom: the lower its cost, the likelier."""
    best = min(costs_ms)
    weights = [exp((best - cost) / (DRAW_SCALE * max(best, 1.0))) for cost in costs_ms]
    return random.choices(candidates, weights)[0]
