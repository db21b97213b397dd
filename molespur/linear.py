"""Linear equations, for the model's fit.  Pure."""


def solve(rows: list[list[float]]) -> list[float]:
    """Solve a small symmetric positive system, its right side as the last column, by elimination in place."""
    for i, pivot in enumerate(rows):
        for j, row in enumerate(rows):
            if j != i and row[i]:
                factor = row[i] / pivot[i]
                rows[j] = [a - factor * b for a, b in zip(row, pivot, strict=True)]
    return [row[-1] / row[i] for i, row in enumerate(rows)]
