"""Linear equations, for fitting the finish-time model.  Does no I/O."""


def solve(rows: list[list[float]]) -> list[float]:
    """Solve a small symmetric positive-definite system in place; the last column is its right side."""
    for i, pivot in enumerate(rows):
        for j, row in enumerate(rows):
            if j != i and row[i]:
                factor = row[i] / pivot[i]
                rows[j] = [a - factor * b for a, b in zip(row, pivot, strict=True)]
    return [row[-1] / row[i] for i, row in enumerate(rows)]
